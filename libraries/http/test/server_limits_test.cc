// What a server holds for clients that do not behave: see ServerLimits.

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "http_fixture.h"

namespace switchsaddle::http {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t BodyBytes = 100'000;
/** More than the kernel's buffers of both ends take. */
constexpr std::size_t LongResponseBytes = 20'000'000;
const std::string ChunkedHead =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";

class ServerLimitsTest : public HttpFixture {
 protected:
  ServerLimitsTest() { limits.body_bytes = BodyBytes; }

  void serveEcho() {
    serve(
        [this](Request request, ResponseWriterPtr writer) {
          last = request;
          last.memory.reset();
          writer->respond({200, {}, request.body});
        },
        limits);
  }
  void send(tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code ignored;
    socket.non_blocking(false);
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    socket.non_blocking(true);
  }
  std::string exchangeRaw(const std::string& bytes) {
    tcp::socket socket = connectRaw();
    send(socket, bytes);
    return readToEnd(socket);
  }
  /** Sends the bytes one by one; the server handles each before the next. */
  std::string exchangeByteByByte(const std::string& bytes) {
    tcp::socket socket = connectRaw();
    socket.set_option(tcp::no_delay(true));
    for (const char byte : bytes) {
      send(socket, std::string(1, byte));
      context.restart();
      context.run_for(std::chrono::milliseconds(1));
    }
    return readToEnd(socket);
  }
  tcp::socket connectWithoutWaiting() {
    tcp::socket socket(context);
    socket.open(tcp::v4());
    socket.non_blocking(true);
    // Begun at once; its end, for which the context would have to run, may never come.
    socket.async_connect(
        {boost::asio::ip::make_address(server->address().ip), server->address().port},
        [](const boost::system::error_code&) {});
    return socket;
  }
  /** Writes as much as the system takes. @return how many bytes have arrived at the other end. */
  static std::size_t fill(tcp::socket& socket) {
    const std::string bytes(64U << 10U, 'b');
    std::size_t written = 0;
    boost::system::error_code full;
    while (!full) {
      written += socket.write_some(boost::asio::buffer(bytes), full);
    }
    int unacknowledged = 0;
    ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged);
    return written - std::min(written, static_cast<std::size_t>(unacknowledged));
  }
  /** Opens a connection whose body lacks its last byte. */
  tcp::socket connectStoppingShort() {
    tcp::socket socket = connectRaw();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
                     std::string(BodyBytes - 1, 'b'));
    return socket;
  }
  bool usesAtLeast(std::size_t bytes) {
    return runUntil([&] { return limits.memory->used() >= bytes; });
  }

  ServerLimits limits;
  Request last;
};

TEST_F(ServerLimitsTest, ReadsALastChunkThatComesByteByByte) {
  serveEcho();
  const std::string empty = exchangeByteByByte(ChunkedHead + "0\r\nField: value\r\n\r\n");
  EXPECT_EQ(empty.substr(0, 12), "HTTP/1.1 200");
  const std::string full = exchangeByteByByte(ChunkedHead + "2;a=b\r\n00\r\n1\r\n0\r\n0\r\n\r\n");
  EXPECT_NE(full.find("\r\n\r\n000"), std::string::npos);
}

TEST_F(ServerLimitsTest, RejectsFramingOfChunksBeyondTheHeaderLimit) {
  limits.header_bytes = 1'000;
  serveEcho();
  const std::string filler(20'000, '0');
  std::string trailers;
  while (trailers.size() < filler.size()) {
    trailers += "Field: value\r\n";
  }
  const std::vector<std::string> bodies{"0\r\n" + trailers, "1;" + filler, filler};
  for (const std::string& body : bodies) {
    EXPECT_EQ(exchangeRaw(ChunkedHead + body).substr(0, 12), "HTTP/1.1 400") << body.substr(0, 10);
  }
  EXPECT_EQ(server->counters().requests_malformed, bodies.size());
}

TEST_F(ServerLimitsTest, DiscardsTrailerFields) {
  serveEcho();
  const std::string received = exchangeRaw(ChunkedHead + "0\r\nApi-Key: stolen\r\n\r\n");
  EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(last.header("Api-Key"), "");
}

TEST_F(ServerLimitsTest, ReadsAChunkedBodyUpToTheLimit) {
  serveEcho();
  std::string body;
  while (body.size() < BodyBytes) {
    body += "0123456789";
  }
  const std::string whole = exchangeRaw(ChunkedHead + "186a0\r\n" + body + "\r\n0\r\n\r\n");
  EXPECT_EQ(whole.substr(whole.find("\r\n\r\n") + 4), body);
  const std::string more =
      exchangeRaw(ChunkedHead + "186a0\r\n" + body + "\r\n1\r\nx\r\n0\r\n\r\n");
  EXPECT_EQ(more.substr(0, 12), "HTTP/1.1 413");
  EXPECT_EQ(server->counters().requests_too_large, 1U);
}

TEST_F(ServerLimitsTest, RejectsARequestForWhichThereIsNoMemory) {
  // The second body would fit only in place of the first, which is still protected.
  limits.memory = std::make_shared<base::ByteBudget>(3 * BodyBytes);
  limits.protected_time = std::chrono::hours(1);
  serveEcho();
  tcp::socket first = connectStoppingShort();
  ASSERT_TRUE(usesAtLeast(2 * BodyBytes));
  tcp::socket second = connectStoppingShort();
  const std::string refusal = readToEnd(second);
  EXPECT_EQ(refusal.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(refusal.find("\"code\":3013"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(server->counters().requests_refused, 1U);
  // Small requests still find a place, and the first one ends as it began.
  EXPECT_EQ(run({"POST", "/", {}, "small"})->body, "small");
  send(first, "b");
  ASSERT_TRUE(runUntil([&] { return last.body.size() == BodyBytes; }));
}

TEST_F(ServerLimitsTest, TheOldestUnfinishedRequestGivesWay) {
  limits.memory = std::make_shared<base::ByteBudget>(3 * BodyBytes);
  limits.protected_time = base::Duration::zero();
  serveEcho();
  tcp::socket first = connectStoppingShort();
  ASSERT_TRUE(usesAtLeast(2 * BodyBytes));
  EXPECT_EQ(run({"POST", "/", {}, std::string(BodyBytes, 'x')})->body.size(), BodyBytes);
  EXPECT_EQ(readToEnd(first).substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(server->counters().requests_displaced, 1U);
  EXPECT_TRUE(runUntil([&] { return limits.memory->used() == 0; }));
}

TEST_F(ServerLimitsTest, CountsTheFieldsOfAHeadBeforeItKeepsThem) {
  limits.memory = std::make_shared<base::ByteBudget>(500'000);
  limits.protected_time = std::chrono::hours(1);
  serveEcho();
  std::string head = "GET / HTTP/1.1\r\n";
  while (head.size() < limits.header_bytes - 10) {
    head += "a:\r\n";
  }
  EXPECT_EQ(exchangeRaw(head + "\r\n").substr(0, 12), "HTTP/1.1 503");
}

TEST_F(ServerLimitsTest, AnUnreadResponseGivesWayToARequest) {
  limits.memory = std::make_shared<base::ByteBudget>(3 * BodyBytes);
  limits.protected_time = base::Duration::zero();
  serve(
      [](Request request, ResponseWriterPtr writer) {
        writer->respond(
            {200, {}, std::string(request.target == "/long" ? LongResponseBytes : 1, 'r')});
      },
      limits);
  tcp::socket unread = connectRaw();
  send(unread, "GET /long HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(usesAtLeast(LongResponseBytes));
  EXPECT_EQ(run({"POST", "/", {}, std::string(BodyBytes, 'x')})->head->status, 200);
  EXPECT_EQ(server->counters().requests_displaced, 1U);
}

TEST_F(ServerLimitsTest, DisconnectsAClientThatDoesNotRead) {
  limits.write_timeout = base::Duration::zero();
  serve(
      [](const Request&, const ResponseWriterPtr& writer) {
        writer->respond({200, {}, std::string(LongResponseBytes, 'r')});
      },
      limits);
  tcp::socket unread = connectRaw();
  send(unread, "GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return server->counters().responses_timed_out == 1; }));
  EXPECT_EQ(server->openConnections(), 0U);
}

TEST_F(ServerLimitsTest, ConnectionsThatWaitToBeTakenHoldLittle) {
  constexpr std::size_t Waiting = 8;
  limits.waiting_connections = Waiting;
  serveEcho();
  std::size_t arrived = 0;
  std::vector<tcp::socket> clients;
  for (std::size_t opened = 0; opened < 4 * Waiting; ++opened) {
    clients.push_back(connectWithoutWaiting());
    arrived += fill(clients.back());
  }
  EXPECT_GE(arrived, Waiting * ReceiveBufferBytes / 2);
  // The system queues one more than it is told, and counts its own use twice.
  EXPECT_LE(arrived, (Waiting + 1) * 2 * ReceiveBufferBytes);
}

TEST_F(ServerLimitsTest, TheConnectionThatWaitedLongestGivesWayToANewOne) {
  limits.connections = 2;
  serveEcho();
  tcp::socket first = connectRaw();
  ASSERT_TRUE(runUntil([&] { return server->openConnections() == 1; }));
  tcp::socket second = connectRaw();
  send(second, "POST / HTTP/1.1\r\n");
  ASSERT_TRUE(runUntil([&] { return server->openConnections() == 2; }));
  EXPECT_EQ(run({"POST", "/", {}, "third"})->body, "third");
  EXPECT_EQ(readToEnd(first), "");
  EXPECT_EQ(server->openConnections(), 2U);
  EXPECT_EQ(server->counters().connections_displaced, 1U);
}

TEST_F(ServerLimitsTest, ARequestBeingAnsweredDoesNotGiveWay) {
  limits.connections = 1;
  ResponseWriterPtr pending;
  serve([&](const Request&, const ResponseWriterPtr& writer) { pending = writer; }, limits);
  const auto observer = exchange({"POST", "/", {}, ""});
  ASSERT_TRUE(runUntil([&] { return pending != nullptr; }));
  tcp::socket further = connectRaw();
  EXPECT_EQ(readToEnd(further), "");
  EXPECT_EQ(server->counters().connections_refused, 1U);
  pending->respond({200, {}, "answer"});
  ASSERT_TRUE(runUntil([&] { return observer->ended(); }));
  EXPECT_EQ(observer->body, "answer");
}

}  // namespace
}  // namespace switchsaddle::http
