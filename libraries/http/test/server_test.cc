#include "switchsaddle/http/server.h"

#include <boost/asio/write.hpp>
#include <optional>
#include <stdexcept>

#include "http_fixture.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/http/error_response.h"

namespace switchsaddle::http {
namespace {

class ServerTest : public HttpFixture {
 protected:
  void serveEcho(const ServerLimits& limits = {}) {
    serve(
        [this](Request request, ResponseWriterPtr writer) {
          ++requests;
          writer->respond({200, {}, request.method + " " + request.target + " " + request.body});
        },
        limits);
  }
  std::string exchangeRaw(const std::string& bytes) {
    auto socket = connectRaw();
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return readToEnd(socket);
  }

  int requests = 0;
};

TEST_F(ServerTest, EchoesARequest) {
  serveEcho();
  const auto observer = run({"POST", "/a?b=c", {}, "body"});
  EXPECT_EQ(observer->head->status, 200);
  EXPECT_EQ(observer->body, "POST /a?b=c body");
}

TEST_F(ServerTest, AnswersPipelinedRequestsInOrder) {
  serveEcho();
  const std::string received = exchangeRaw(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::size_t first = received.find("GET /1");
  const std::size_t second = received.find("GET /2");
  const std::size_t third = received.find("GET /3");
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(third, std::string::npos);
}

TEST_F(ServerTest, RejectsMalformedInputAndContinues) {
  serveEcho();
  const std::vector<std::string> inputs{
      "\r\n\r\n\r\n ",
      "GARBAGE\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nno colon\r\n\r\n",
      "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
      "GET / HTTP/1.1\r\nName\x01: x\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
      std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
      "GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nA: " + std::string(20'000, 'x') + "\r\n\r\n",
  };
  for (const std::string& input : inputs) {
    const std::string received = exchangeRaw(input);
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 400") << input.substr(0, 80);
    EXPECT_NE(received.find("\"code\":1009"), std::string::npos) << input.substr(0, 80);
  }
  EXPECT_EQ(requests, 0);
  EXPECT_EQ(run({"GET", "/", {}, ""})->head->status, 200);
}

TEST_F(ServerTest, RejectsABodyBeyondTheLimit) {
  ServerLimits limits;
  limits.body_bytes = 100;
  serveEcho(limits);
  EXPECT_EQ(run({"POST", "/", {}, std::string(100, 'x')})->head->status, 200);
  const auto announced = run({"POST", "/", {}, std::string(3'000'000, 'x')});
  ASSERT_TRUE(announced->head);
  EXPECT_EQ(announced->head->status, 413);
  EXPECT_NE(announced->body.find("\"code\":1005"), std::string::npos);
  const std::string chunked =
      exchangeRaw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" +
                  std::string(128, 'x') + "\r\n");
  EXPECT_EQ(chunked.substr(0, 12), "HTTP/1.1 413");
  EXPECT_EQ(requests, 1);
}

TEST_F(ServerTest, ClosesAConnectionAfterTheHeaderTimeout) {
  ServerLimits limits;
  limits.header_timeout_s = 1;
  serveEcho(limits);
  EXPECT_EQ(exchangeRaw("GET / HTTP/1.1\r\nHo"), "");
  EXPECT_EQ(exchangeRaw(""), "");
  EXPECT_TRUE(runUntil([&] { return server->openConnections() == 0; }));
}

TEST_F(ServerTest, RespondsToExpect100Continue) {
  serveEcho();
  const std::string received = exchangeRaw(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: "
      "close\r\n\r\nhi");
  EXPECT_EQ(received.substr(0, 25), "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_NE(received.find("POST / hi"), std::string::npos);
}

TEST_F(ServerTest, RespondsIfTheHandlerThrows) {
  serve([](const Request&, const ResponseWriterPtr&) { throw std::runtime_error("fault"); });
  const auto observer = run({"GET", "/", {}, ""});
  EXPECT_EQ(observer->head->status, 500);
  EXPECT_NE(observer->body.find("\"code\":9001"), std::string::npos);
}

TEST_F(ServerTest, RespondsIfTheHandlerDropsTheWriter) {
  serve([](const Request&, const ResponseWriterPtr&) {});
  const auto observer = run({"GET", "/", {}, ""});
  EXPECT_EQ(observer->head->status, 500);
  EXPECT_NE(observer->body.find("\"code\":9001"), std::string::npos);
}

TEST_F(ServerTest, TruncatesAStreamWhoseWriterIsDropped) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->startStream({200, {}, ""});
    writer->writeChunk("piece", [writer](bool) {});
  });
  const auto observer = run({"GET", "/", {}, ""});
  EXPECT_EQ(observer->failure, ExchangeFailure::BodyTruncated);
  EXPECT_EQ(observer->body, "piece");
}

TEST_F(ServerTest, StreamsChunksAndKeepsTheConnection) {
  serve([this](const Request&, const ResponseWriterPtr& writer) {
    ++requests;
    writer->startStream({200, {{"Content-Type", "text/event-stream"}}, ""});
    writer->writeChunk("one ", nullptr);
    writer->writeChunk("", nullptr);
    writer->writeChunk("two", nullptr);
    writer->endStream();
  });
  for (int repeat = 0; repeat < 3; ++repeat) {
    const auto observer = run({"GET", "/", {}, ""});
    EXPECT_EQ(observer->completions, 1);
    EXPECT_EQ(observer->body, "one two");
    EXPECT_EQ(observer->head->header("content-type"), "text/event-stream");
  }
  EXPECT_EQ(server->openConnections(), 1U);
}

TEST_F(ServerTest, StreamsToAnHttp10ClientWithoutChunks) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->startStream({200, {}, ""});
    writer->writeChunk("plain", nullptr);
    writer->endStream();
  });
  const std::string received = exchangeRaw("GET / HTTP/1.0\r\n\r\n");
  EXPECT_NE(received.find("\r\n\r\nplain"), std::string::npos);
  EXPECT_EQ(received.find("chunked"), std::string::npos);
}

TEST_F(ServerTest, ReportsADisconnectWhileAResponseIsAwaited) {
  ResponseWriterPtr kept;
  int disconnects = 0;
  serve([&](const Request&, const ResponseWriterPtr& writer) {
    kept = writer;
    writer->onClientDisconnected([&] { ++disconnects; });
  });
  exchange({"GET", "/", {}, ""});
  ASSERT_TRUE(runUntil([&] { return kept != nullptr; }));
  running->cancel();
  EXPECT_TRUE(runUntil([&] { return disconnects == 1; }));
  kept->respond({200, {}, "late"});
  bool late_chunk = true;
  kept->writeChunk("late", [&](bool is_written) { late_chunk = is_written; });
  EXPECT_TRUE(runUntil([&] { return !late_chunk; }));
  EXPECT_EQ(disconnects, 1);
}

TEST_F(ServerTest, ARequestThatLayUnreadTellsThatItsClientHasLeft) {
  std::vector<bool> had_left;
  serve([&](const Request& request, const ResponseWriterPtr& writer) {
    had_left.push_back(request.client->hasLeft());
    writer->respond({200, {}, ""});
  });
  const std::string head = " / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  for (const std::string method : {"POST", "DELETE"}) {
    auto socket = connectRaw();
    boost::asio::write(socket, boost::asio::buffer(method + head));
    socket.close();
  }
  ASSERT_TRUE(runUntil([&] { return had_left.size() == 2; }));
  EXPECT_EQ(had_left, (std::vector<bool>{true, true}));
}

TEST_F(ServerTest, AClientThatHasClosedItsSendingSideGetsItsAnswer) {
  serveEcho();
  for (const std::string method : {"GET", "POST"}) {
    auto socket = connectRaw();
    boost::asio::write(socket,
                       boost::asio::buffer(method + " /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    EXPECT_NE(readToEnd(socket).find(method + " /a"), std::string::npos);
  }
}

/** A request that may change something, whose handler has not responded yet. */
class HandledRequestTest : public ServerTest {
 protected:
  HandledRequestTest() {
    serve([this](const Request& request, ResponseWriterPtr writer) {
      handled_ = request.client;
      pending_ = std::move(writer);
    });
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    socket_.emplace(connectRaw());
    boost::asio::write(*socket_, boost::asio::buffer(request));
    EXPECT_TRUE(runUntil([this] { return pending_ != nullptr; }));
  }

  ClientPresencePtr handled_;
  ResponseWriterPtr pending_;
  std::optional<boost::asio::ip::tcp::socket> socket_;
};

TEST_F(HandledRequestTest, TellsThatItsClientHasLeft) {
  EXPECT_FALSE(handled_->hasLeft());
  socket_->close();
  EXPECT_TRUE(runUntil([this] { return handled_->hasLeft(); }));
}

TEST_F(HandledRequestTest, TellsThatItsClientHasLeftBeforeTheServerReadsItsClose) {
  socket_->close();
  EXPECT_TRUE(handled_->hasLeft());
}

TEST_F(ServerTest, ReportsADisconnectDuringAStream) {
  ResponseWriterPtr kept;
  int disconnects = 0;
  serve([&](const Request&, const ResponseWriterPtr& writer) {
    kept = writer;
    writer->onClientDisconnected([&] { ++disconnects; });
    writer->startStream({200, {}, ""});
    writer->writeChunk("piece", nullptr);
  });
  const auto observer = exchange({"GET", "/", {}, ""});
  ASSERT_TRUE(runUntil([&] { return !observer->body.empty(); }));
  running->cancel();
  EXPECT_TRUE(runUntil([&] { return disconnects == 1; }));
}

TEST_F(ServerTest, AppliesBackPressureForASlowClient) {
  constexpr std::size_t ChunkBytes = 16U << 10U;
  constexpr std::size_t TotalBytes = 64U << 20U;
  std::size_t written = 0;
  std::function<void(bool)> write_next;
  ResponseWriterPtr kept;
  serve([&](const Request&, const ResponseWriterPtr& writer) {
    kept = writer;
    writer->startStream({200, {}, ""});
    write_next = [&](bool is_written) {
      written += is_written ? ChunkBytes : 0;
      if (written >= TotalBytes) {
        kept->endStream();
      } else if (is_written) {
        kept->writeChunk(std::string(ChunkBytes, 'x'), write_next);
      }
    };
    kept->writeChunk(std::string(ChunkBytes, 'x'), write_next);
  });
  auto observer = std::make_shared<RecordingObserver>();
  observer->pauses = true;
  running = client->start(server->address(), {"GET", "/", {}, ""}, {}, observer);
  ASSERT_TRUE(runUntil([&] { return observer->pending_resume != nullptr; }));
  // Runs until the sockets' buffers are full.
  std::size_t before = 0;
  do {
    before = written;
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
  } while (written != before);
  EXPECT_LT(written, TotalBytes / 2);
  observer->pauses = false;
  observer->pending_resume();
  EXPECT_TRUE(runUntil([&] { return observer->ended(); }));
  EXPECT_EQ(observer->completions, 1);
  EXPECT_EQ(observer->body.size(), TotalBytes);
}

TEST_F(ServerTest, RemovesCharactersThatWouldEndAHeader) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->respond({200, {{"Echo", "a\r\nInjected: b"}, {"Content-Length", "999"}}, "body"});
  });
  const auto observer = run({"GET", "/", {}, ""});
  EXPECT_EQ(observer->head->header("injected"), "");
  EXPECT_EQ(observer->body, "body");
}

TEST_F(ServerTest, RejectsAnAddressInUse) {
  serveEcho();
  try {
    startServer(context, server->address(), {}, nullptr);
    FAIL() << "expected AddressUnavailable, since the address is in use";
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), base::ResultCode::AddressUnavailable);
  }
}

TEST_F(ServerTest, RejectsAnInvalidAddress) {
  try {
    startServer(context, {"not an address", 1}, {}, nullptr);
    FAIL() << "expected InvalidAddress";
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), base::ResultCode::InvalidAddress);
  }
}

TEST_F(ServerTest, StopsAcceptingAndCompletesOpenExchanges) {
  ResponseWriterPtr kept;
  serve([&](const Request&, const ResponseWriterPtr& writer) { kept = writer; });
  const auto open = exchange({"GET", "/", {}, ""});
  ASSERT_TRUE(runUntil([&] { return kept != nullptr; }));
  server->stopAccepting();
  EXPECT_TRUE(run({"GET", "/", {}, ""})->refused);
  kept->respond({200, {}, "done"});
  EXPECT_TRUE(runUntil([&] { return open->ended(); }));
  EXPECT_EQ(open->body, "done");
}

TEST_F(ServerTest, ClosesIdleConnectionsAfterTheirNextResponseOnceItStopsAccepting) {
  serveEcho();
  run({"GET", "/", {}, ""});
  server->stopAccepting();
  const auto observer = run({"GET", "/", {}, ""});
  EXPECT_EQ(observer->head->header("connection"), "close");
  EXPECT_TRUE(runUntil([&] { return server->openConnections() == 0; }));
}

TEST_F(ServerTest, MayBeDestroyedFromItsHandler) {
  bool destroyed = false;
  serve([&, padding = std::string(100, 'x')](const Request&, const ResponseWriterPtr&) {
    server.reset();
    destroyed = padding.size() == 100;
  });
  const auto observer = exchange({"POST", "/", {}, ""});
  EXPECT_TRUE(runUntil([&] { return observer->ended(); }));
  EXPECT_TRUE(destroyed);
}

TEST_F(ServerTest, NoCallbackRunsAfterDestruction) {
  ResponseWriterPtr kept;
  int calls = 0;
  serve([&](const Request&, const ResponseWriterPtr& writer) {
    kept = writer;
    writer->onClientDisconnected([&] { ++calls; });
    writer->startStream({200, {}, ""});
  });
  const auto observer = exchange({"GET", "/", {}, ""});
  ASSERT_TRUE(runUntil([&] { return observer->head.has_value(); }));
  server.reset();
  kept->writeChunk("late", [&](bool) { ++calls; });
  kept.reset();
  EXPECT_TRUE(runUntil([&] { return observer->ended(); }));
  EXPECT_EQ(observer->failure, ExchangeFailure::BodyTruncated);
  EXPECT_EQ(calls, 0);
}

TEST(ErrorResponseTest, HasTheStatusAndNameOfItsCode) {
  const Response response = errorResponse(base::ResultCode::OverBranchLimit, "full", "share/a");
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(response.header("content-type"), "application/json");
  EXPECT_EQ(response.body, R"({"error":{"code":3001,"name":"OverBranchLimit","message":"full",)"
                           R"("retry_safe":true,"path":"share/a"}})");
}

TEST(MessageTest, ParsesRequestTargets) {
  EXPECT_EQ(targetPath("/a/b?c=d"), "/a/b");
  EXPECT_EQ(targetPath("/a"), "/a");
  EXPECT_EQ(queryParameter("/a?model=x%20y&b", "model"), "x y");
  EXPECT_EQ(queryParameter("/a?model=x", "other"), "");
  EXPECT_EQ(queryParameter("/a?%zz", "model"), "");
  EXPECT_EQ(queryParameter("/a", "model"), "");
}

TEST_F(ServerTest, ClosesConnectionsAfterTheirResponsesAndAcceptsMore) {
  serve([](const Request&, const ResponseWriterPtr& writer) { writer->respond({200, {}, "x"}); });
  EXPECT_EQ(run({"POST", "/", {}, "x"})->head->header("Connection"), "keep-alive");
  server->closeAfterResponses();
  EXPECT_EQ(run({"POST", "/", {}, "x"})->head->header("Connection"), "close");
  EXPECT_EQ(run({"POST", "/", {}, "x"})->head->header("Connection"), "close");
}

}  // namespace
}  // namespace switchsaddle::http
