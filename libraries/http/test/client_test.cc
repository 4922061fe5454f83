#include "switchsaddle/http/client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "http_fixture.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::http {
namespace {

using boost::asio::ip::tcp;

class ClientTest : public HttpFixture {
 protected:
  void serveEcho() {
    serve([](Request request, ResponseWriterPtr writer) {
      writer->respond({200, {}, request.body + std::string(request.header("connection"))});
    });
  }

  /**
   * A server that reads some bytes of each connection, sends the given bytes and closes the
   * connection, or keeps it open if `hold_open` is set.
   */
  base::NodeAddress serveRaw(std::string response, bool hold_open = false) {
    acceptor.emplace(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    raw_response = std::move(response);
    raw_hold_open = hold_open;
    acceptRaw();
    return {"127.0.0.1", acceptor->local_endpoint().port()};
  }
  void acceptRaw() {
    acceptor->async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      ++raw_connections;
      auto kept = std::make_shared<tcp::socket>(std::move(socket));
      auto bytes = std::make_shared<std::string>(4096, '\0');
      kept->async_read_some(boost::asio::buffer(*bytes),
                            [this, kept, bytes](const boost::system::error_code&, std::size_t) {
                              boost::system::error_code ignored;
                              boost::asio::write(*kept, boost::asio::buffer(raw_response), ignored);
                              if (raw_hold_open) {
                                raw_sockets.push_back(kept);
                              }
                            });
      acceptRaw();
    });
  }
  std::shared_ptr<RecordingObserver> runAt(const base::NodeAddress& address, Request request,
                                           const ExchangeOptions& options = {}) {
    auto observer = std::make_shared<RecordingObserver>();
    running = client->start(address, std::move(request), options, observer);
    EXPECT_TRUE(runUntil([&] { return observer->ended(); }));
    return observer;
  }

  /** Sends the response of serveRaw() byte by byte, each after the client has read the last. */
  void sendByteByByte(const std::shared_ptr<tcp::socket>& socket, const std::string& bytes) {
    for (const char byte : bytes) {
      boost::asio::write(*socket, boost::asio::buffer(&byte, 1));
      context.restart();
      context.run_for(std::chrono::milliseconds(1));
    }
  }

  std::optional<tcp::acceptor> acceptor;
  std::string raw_response;
  bool raw_hold_open = false;
  int raw_connections = 0;
  std::vector<std::shared_ptr<tcp::socket>> raw_sockets;
};

TEST_F(ClientTest, ReadsALastChunkThatComesByteByByte) {
  const base::NodeAddress address = serveRaw("HTTP/1.1 200 OK\r\n", true);
  const auto observer = std::make_shared<RecordingObserver>();
  running = client->start(address, {"GET", "/", {}, ""}, {}, observer);
  ASSERT_TRUE(runUntil([&] { return raw_sockets.size() == 1; }));
  raw_sockets.front()->set_option(tcp::no_delay(true));
  sendByteByByte(raw_sockets.front(),
                 "Transfer-Encoding: chunked\r\n\r\n0\r\nField: value\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return observer->ended(); }));
  EXPECT_EQ(observer->completions, 1);
}

TEST_F(ClientTest, ReusesAConnectionForTheNextExchange) {
  serveEcho();
  for (int repeat = 0; repeat < 5; ++repeat) {
    EXPECT_EQ(run({"POST", "/", {}, "x"})->body, "xkeep-alive");
  }
  EXPECT_EQ(server->openConnections(), 1U);
}

TEST_F(ClientTest, AConnectionIsNotReusedAfterAnError) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", true);
  runAt(address, {"POST", "/", {}, "x"});
  runAt(address, {"POST", "/", {}, "x"});
  EXPECT_EQ(raw_connections, 2);
}

TEST_F(ClientTest, FreshConnectionsAreNotReused) {
  serveEcho();
  ExchangeOptions fresh;
  fresh.fresh_connection = true;
  run({"POST", "/", {}, "x"});
  EXPECT_EQ(run({"POST", "/", {}, "x"}, fresh)->body, "xclose");
  EXPECT_EQ(run({"POST", "/", {}, "x"}, fresh)->body, "xclose");
  EXPECT_TRUE(runUntil([&] { return server->openConnections() == 1; }));
}

TEST_F(ClientTest, ReportsARefusedConnection) {
  serveEcho();
  const base::NodeAddress address = server->address();
  server.reset();
  const auto observer = runAt(address, {"POST", "/", {}, "x"});
  EXPECT_EQ(observer->failure, ExchangeFailure::NotConnected);
  EXPECT_TRUE(observer->refused);
  EXPECT_EQ(observer->failures, 1);
}

/** Connections to a peer that does not answer. */
class ConnectionOfClientTest : public ClientTest {
 protected:
  /** @return whether a server can listen at the local address of a new connection. */
  bool canListenAtItsPort() {
    tcp::acceptor peer(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket accepted(context);
    peer.async_accept(accepted, [](const boost::system::error_code&) {});
    const auto observer = std::make_shared<RecordingObserver>();
    running = client->start({"127.0.0.1", peer.local_endpoint().port()}, {"GET", "/", {}, ""}, {},
                            observer);
    EXPECT_TRUE(runUntil([&] { return accepted.is_open(); }));
    const base::NodeAddress local{"127.0.0.1", accepted.remote_endpoint().port()};
    try {
      startServer(context, local, {}, nullptr);
      return true;
    } catch (const base::Error&) {
      return false;
    }
  }
};

TEST_F(ConnectionOfClientTest, AServerCanListenOnItsPort) {
  // The kernel may choose a port on which a foreign program is connected, too.
  constexpr int Connections = 20;
  int listened = 0;
  for (int connection = 0; connection < Connections && listened == 0; ++connection) {
    listened += canListenAtItsPort() ? 1 : 0;
  }
  EXPECT_EQ(listened, 1);
}

TEST_F(ClientTest, ReportsAnInvalidAddress) {
  const auto observer = runAt({"not an address", 1}, {"POST", "/", {}, "x"});
  EXPECT_EQ(observer->failure, ExchangeFailure::NotConnected);
  EXPECT_FALSE(observer->refused);
}

TEST_F(ClientTest, ReportsAConnectionClosedWithoutAResponse) {
  const base::NodeAddress address = serveRaw("");
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->failure, ExchangeFailure::NoResponse);
  EXPECT_EQ(raw_connections, 1);
}

TEST_F(ClientTest, ReportsAResponseThatIsNotHttp) {
  const base::NodeAddress address = serveRaw("garbage\r\n\r\n");
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->failure, ExchangeFailure::NoResponse);
}

TEST_F(ClientTest, AHeadThatJoinsTwoResponsesIsNoResponse) {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const char* cut :
       {"HTTP/1.1 503 Bu", "HTTP/1.1 503 Busy\r\nNot-Run: ", "HTTP/1.1 503 Busy\r\nServer: w"}) {
    const auto observer = runAt(serveRaw(cut + whole), {"POST", "/", {}, "x"});
    EXPECT_EQ(observer->failure, ExchangeFailure::NoResponse) << cut;
  }
}

TEST_F(ClientTest, AFieldMayNameAVersionOfHttp) {
  const base::NodeAddress address = serveRaw(
      "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.0 2001\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->body, "ok");
}

TEST_F(ClientTest, ReportsATruncatedBody) {
  const base::NodeAddress address = serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  const auto observer = runAt(address, {"GET", "/", {}, ""});
  EXPECT_EQ(observer->failure, ExchangeFailure::BodyTruncated);
  EXPECT_EQ(observer->body, "abc");
  EXPECT_EQ(raw_connections, 1);
}

TEST_F(ClientTest, ReportsATruncatedChunkedBody) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  const auto observer = runAt(address, {"GET", "/", {}, ""});
  EXPECT_EQ(observer->failure, ExchangeFailure::BodyTruncated);
  EXPECT_EQ(observer->body, "abc");
}

TEST_F(ClientTest, AcceptsABodyThatEndsWithTheConnection) {
  const base::NodeAddress address = serveRaw("HTTP/1.1 200 OK\r\n\r\nabc");
  const auto observer = runAt(address, {"GET", "/", {}, ""});
  EXPECT_EQ(observer->completions, 1);
  EXPECT_EQ(observer->body, "abc");
}

TEST_F(ClientTest, SkipsInformationalResponses) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  const auto observer = runAt(address, {"POST", "/", {}, "x"});
  EXPECT_EQ(observer->head->status, 201);
  EXPECT_EQ(observer->body, "ok");
}

TEST_F(ClientTest, AHugeContentLengthAllocatesNoMemory) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nabc");
  EXPECT_EQ(runAt(address, {"GET", "/", {}, ""})->failure, ExchangeFailure::BodyTruncated);
}

TEST_F(ClientTest, TimesOutWithoutAResponse) {
  const base::NodeAddress address = serveRaw("", true);
  ExchangeOptions options;
  options.response_timeout = std::chrono::milliseconds(50);
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"}, options)->failure, ExchangeFailure::TimedOut);
}

TEST_F(ClientTest, TimesOutWithinTheBody) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true);
  ExchangeOptions options;
  options.idle_timeout = std::chrono::milliseconds(50);
  const auto observer = runAt(address, {"GET", "/", {}, ""}, options);
  EXPECT_EQ(observer->failure, ExchangeFailure::TimedOut);
  EXPECT_EQ(observer->body, "abc");
}

TEST_F(ClientTest, NeverRetriesAPost) {
  // The first response allows keep-alive; the server then closes the connection.
  const base::NodeAddress address = serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->completions, 1);
  raw_sockets.clear();
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->completions, 1);
  EXPECT_EQ(raw_connections, 2);
  // The server reads the request on the reused connection and closes it without a response.
  auto kept = raw_sockets.back();
  raw_sockets.clear();
  auto bytes = std::make_shared<std::string>(4096, '\0');
  kept->async_read_some(boost::asio::buffer(*bytes),
                        [kept, bytes](const boost::system::error_code&, std::size_t) {});
  kept.reset();
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"})->failure, ExchangeFailure::NoResponse);
  EXPECT_EQ(raw_connections, 2);
}

TEST_F(ClientTest, RetriesAGetOnceAfterAReusedConnectionFails) {
  const base::NodeAddress address = serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
  EXPECT_EQ(runAt(address, {"GET", "/", {}, ""})->completions, 1);
  auto kept = raw_sockets.back();
  raw_sockets.clear();
  auto bytes = std::make_shared<std::string>(4096, '\0');
  kept->async_read_some(boost::asio::buffer(*bytes),
                        [kept, bytes](const boost::system::error_code&, std::size_t) {});
  kept.reset();
  EXPECT_EQ(runAt(address, {"GET", "/", {}, ""})->completions, 1);
  EXPECT_EQ(raw_connections, 2);
}

TEST_F(ClientTest, CancelledExchangesNotifyNoObserver) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
  auto observer = std::make_shared<RecordingObserver>();
  auto cancelled = client->start(address, {"GET", "/", {}, ""}, {}, observer);
  cancelled->cancel();
  cancelled->cancel();
  auto paused = std::make_shared<RecordingObserver>();
  paused->pauses = true;
  auto cancelled_later = client->start(address, {"GET", "/", {}, ""}, {}, paused);
  ASSERT_TRUE(runUntil([&] { return paused->pending_resume != nullptr; }));
  cancelled_later->cancel();
  paused->pending_resume();
  EXPECT_EQ(runAt(address, {"GET", "/", {}, ""})->completions, 1);
  EXPECT_FALSE(observer->head.has_value());
  EXPECT_FALSE(observer->ended());
  EXPECT_FALSE(paused->ended());
}

/** Cancels its exchange from within a callback; owned by the exchange only. */
class CancellingObserver : public ExchangeObserver {
 public:
  explicit CancellingObserver(std::weak_ptr<Exchange>& exchange, int& calls)
      : exchange_(exchange), calls_(calls) {}
  void onResponseHead(const Response& /*head*/) override {
    exchange_.lock()->cancel();
    calls_ += static_cast<int>(padding_.size());
  }
  void onBodyBytes(std::string /*bytes*/, std::function<void()> /*resume*/) override { ++calls_; }
  void onComplete() override { ++calls_; }
  void onFailure(ExchangeFailure /*failure*/, bool /*refused*/) override { ++calls_; }

 private:
  std::weak_ptr<Exchange>& exchange_;
  int& calls_;
  std::string padding_ = std::string(100, 'x');
};

TEST_F(ClientTest, AnExchangeMayBeCancelledFromItsCallbacks) {
  serveEcho();
  std::weak_ptr<Exchange> exchange;
  int calls = 0;
  exchange = client->start(server->address(), {"POST", "/", {}, "x"}, {},
                           std::make_shared<CancellingObserver>(exchange, calls));
  ASSERT_TRUE(runUntil([&] { return exchange.expired(); }));
  EXPECT_EQ(calls, 100);
}

TEST_F(ClientTest, ConnectsFromTheLocalAddress) {
  acceptor.emplace(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::string remote_ip;
  acceptor->async_accept([&](const boost::system::error_code&, tcp::socket socket) {
    remote_ip = socket.remote_endpoint().address().to_string();
  });
  ExchangeOptions options;
  options.local_ip = "127.9.8.7";
  const base::NodeAddress address{"127.0.0.1", acceptor->local_endpoint().port()};
  runAt(address, {"GET", "/", {}, ""}, options);
  EXPECT_EQ(remote_ip, "127.9.8.7");
}

TEST_F(ClientTest, FetchReturnsTheCompleteResponseOrTheFailure) {
  serveEcho();
  std::string body;
  client->fetch(server->address(), {"POST", "/", {}, "hello "}, {},
                [&](const Response* response, ExchangeFailure) { body = response->body; });
  EXPECT_TRUE(runUntil([&] { return body == "hello keep-alive"; }));
  const base::NodeAddress address = server->address();
  server.reset();
  std::optional<ExchangeFailure> failure;
  client->fetch(address, {"GET", "/", {}, ""}, {},
                [&](const Response* response, ExchangeFailure kind) {
                  EXPECT_EQ(response, nullptr);
                  failure = kind;
                });
  EXPECT_TRUE(runUntil([&] { return failure.has_value(); }));
  EXPECT_EQ(failure, ExchangeFailure::NotConnected);
}

/** @return options that accept only responses with the request's id. */
ExchangeOptions acceptOnlyOwnResponse() {
  ExchangeOptions options;
  options.accepts_response = [](const Response& head) {
    return head.header("Request-Id") == "mine";
  };
  return options;
}

TEST_F(ClientTest, DiscardsAResponseToAnotherRequest) {
  const base::NodeAddress address = serveRaw(
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
      "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 5\r\n\r\nright");
  const auto observer = runAt(address, {"POST", "/", {}, "x"}, acceptOnlyOwnResponse());
  EXPECT_EQ(observer->completions, 1);
  EXPECT_EQ(observer->body, "right");
}

TEST_F(ClientTest, ReportsNoResponseAfterOnlyAResponseToAnotherRequest) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong");
  EXPECT_EQ(runAt(address, {"POST", "/", {}, "x"}, acceptOnlyOwnResponse())->failure,
            ExchangeFailure::NoResponse);
}

TEST_F(ClientTest, AcceptsAResponseSentBeforeTheRequestWasRead) {
  const base::NodeAddress address =
      serveRaw("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", true);
  const std::string long_body(32U << 20U, 'x');
  const auto observer = runAt(address, {"POST", "/", {}, long_body});
  EXPECT_EQ(observer->completions, 1);
  EXPECT_EQ(observer->head->status, 503);
  // That connection still has unsent bytes of the body, so it is not reused.
  runAt(address, {"POST", "/", {}, "x"});
  EXPECT_EQ(raw_connections, 2);
}

TEST_F(ClientTest, DropsAConnectionBeforeTheServersKeepAliveTimeout) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->respond({200, {{"Keep-Alive", "timeout=0"}}, "x"});
  });
  run({"POST", "/", {}, "x"});
  run({"POST", "/", {}, "x"});
  EXPECT_TRUE(runUntil([&] { return server->openConnections() <= 1; }));
  ExchangeOptions no_reuse;
  no_reuse.maximum_idle_time = {};
  EXPECT_EQ(run({"POST", "/", {}, "x"}, no_reuse)->body, "x");
}

TEST_F(ClientTest, AGetLostOnAReusedConnectionIsRetriedOnlyIfEnabled) {
  for (const bool retry : {true, false}) {
    int requests = 0;
    serve([&](const Request&, const ResponseWriterPtr& writer) {
      if (++requests == 2) {
        writer->abort();
      } else {
        writer->respond({200, {}, "x"});
      }
    });
    ExchangeOptions options;
    options.retry_lost_get = retry;
    run({"GET", "/", {}, ""}, options);
    const auto second = run({"GET", "/", {}, ""}, options);
    EXPECT_EQ(second->completions, retry ? 1 : 0);
    EXPECT_EQ(requests, retry ? 3 : 2);
  }
}

}  // namespace
}  // namespace switchsaddle::http
