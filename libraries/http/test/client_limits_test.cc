#include <boost/asio/write.hpp>

#include "http_fixture.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t FillerBytes = 16U << 10U;
/** Far more than a client may hold of a response, and than the kernel's buffers take. */
constexpr std::size_t EndlessBytes = 64U << 20U;

/** A server that answers every request with an opening and a filler that is repeated for long. */
class ClientLimitsTest : public HttpFixture {
 protected:
  void SetUp() override {
    acceptor_.emplace(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    accept();
  }

  base::NodeAddress answerWith(std::string opening, std::string_view filler) {
    opening_ = std::move(opening);
    while (filler_.size() < FillerBytes) {
      filler_ += filler;
    }
    return {"127.0.0.1", acceptor_->local_endpoint().port()};
  }

  /** Runs an exchange until it ends or the server has sent all. */
  std::shared_ptr<RecordingObserver> runAt(const base::NodeAddress& address,
                                           const ExchangeOptions& options = {}) {
    auto observer = std::make_shared<RecordingObserver>();
    running = client->start(address, {"GET", "/", {}, ""}, options, observer);
    EXPECT_TRUE(runUntil([&] { return observer->ended() || sent_ >= EndlessBytes; }));
    return observer;
  }

  void expectEnd(const std::string& opening, std::string_view filler, ExchangeFailure failure) {
    const auto observer = runAt(answerWith(opening, filler));
    EXPECT_EQ(observer->failure, failure);
    EXPECT_LT(sent_, EndlessBytes);
  }

  /** Writes a byte whenever the last one has been written. */
  static void trickle(const ResponseWriterPtr& writer) {
    writer->writeChunk("x", [writer](bool open) {
      if (open) {
        trickle(writer);
      }
    });
  }

 private:
  void accept() {
    acceptor_->async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      socket_ = std::make_shared<tcp::socket>(std::move(socket));
      request_.resize(4'096);
      socket_->async_read_some(boost::asio::buffer(request_),
                               [this](const error_code&, std::size_t) { send(opening_); });
      accept();
    });
  }

  void send(const std::string& bytes) {
    boost::asio::async_write(*socket_, boost::asio::buffer(bytes),
                             [this](const error_code& error, std::size_t count) {
                               sent_ += count;
                               if (!error && sent_ < EndlessBytes) {
                                 send(filler_);
                               }
                             });
  }

  std::optional<tcp::acceptor> acceptor_;
  std::shared_ptr<tcp::socket> socket_;
  std::string request_;
  std::string opening_;
  std::string filler_;
  std::size_t sent_ = 0;
};

constexpr const char* Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_F(ClientLimitsTest, AHeadWithoutEndFails) {
  expectEnd("HTTP/1.1 200 OK\r\n", "Field: value\r\n", ExchangeFailure::NoResponse);
}

TEST_F(ClientLimitsTest, AHeadFieldWithoutEndFails) {
  expectEnd("HTTP/1.1 200 OK\r\nField: ", "value", ExchangeFailure::NoResponse);
}

TEST_F(ClientLimitsTest, AStatusLineWithoutEndFails) {
  expectEnd("HTTP/1.1 200 ", "reason", ExchangeFailure::NoResponse);
}

TEST_F(ClientLimitsTest, AChunkSizeWithoutEndFails) {
  expectEnd(Chunked, "0", ExchangeFailure::BodyTruncated);
}

TEST_F(ClientLimitsTest, AChunkExtensionWithoutEndFails) {
  expectEnd(std::string(Chunked) + "1;", "extension", ExchangeFailure::BodyTruncated);
}

TEST_F(ClientLimitsTest, ATrailerWithoutEndFails) {
  expectEnd(std::string(Chunked) + "0\r\n", "Field: value\r\n", ExchangeFailure::BodyTruncated);
}

TEST_F(ClientLimitsTest, AChunkExtensionWithoutEndOfADiscardedResponseFails) {
  ExchangeOptions options;
  options.accepts_response = [](const Response&) { return false; };
  const auto observer = runAt(answerWith(std::string(Chunked) + "1;", "extension"), options);
  EXPECT_EQ(observer->failure, ExchangeFailure::NoResponse);
}

TEST_F(ClientLimitsTest, AHeadOfManyFieldsFailsIfThereIsNoMemoryForThem) {
  ExchangeOptions options;
  options.response_memory = std::make_shared<base::ByteBudget>(256U << 10U);
  const auto observer = runAt(answerWith("HTTP/1.1 200 OK\r\n", "a:\r\n"), options);
  EXPECT_EQ(observer->failure, ExchangeFailure::NoResponse);
  EXPECT_EQ(options.response_memory->used(), 0U);
}

TEST_F(ClientLimitsTest, AnOrdinaryResponseNeedsNoCountedMemory) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->respond({200, {{"Field", "value"}}, std::string(100'000, 'b')});
  });
  ExchangeOptions options;
  options.response_memory = std::make_shared<base::ByteBudget>(0);
  const auto observer = run({"GET", "/", {}, ""}, options);
  EXPECT_EQ(observer->completions, 1);
  EXPECT_EQ(observer->body.size(), 100'000U);
}

TEST_F(ClientLimitsTest, AResponseThatTricklesEndsAfterItsWholeTime) {
  serve([](const Request&, const ResponseWriterPtr& writer) {
    writer->startStream({200, {}, ""});
    trickle(writer);
  });
  ExchangeOptions options;
  options.total_timeout = std::chrono::milliseconds(200);
  const auto observer = run({"GET", "/", {}, ""}, options);
  EXPECT_EQ(observer->failure, ExchangeFailure::TimedOut);
}

TEST_F(ClientLimitsTest, IdleConnectionsOfAllServersTogetherAreBounded) {
  constexpr std::size_t Kept = 2;
  client = createClient(context, Kept);
  serve([](const Request&, const ResponseWriterPtr& writer) { writer->respond({200, {}, ""}); });
  for (int number = 1; number <= 5; ++number) {
    ExchangeOptions options;
    // Connections from different addresses are not interchangeable, as those to different servers.
    options.local_ip = "127.0.0." + std::to_string(number);
    EXPECT_EQ(run({"GET", "/", {}, ""}, options)->completions, 1);
  }
  EXPECT_TRUE(runUntil([&] { return server->openConnections() == Kept; }));
}

TEST_F(ClientLimitsTest, FetchGivesABodyUpThatIsLargerThanItsLimit) {
  const base::NodeAddress address = answerWith(Chunked, "5\r\nbytes\r\n");
  ExchangeOptions options;
  options.fetch_limit_bytes = 100'000;
  std::optional<ExchangeFailure> failure;
  client->fetch(address, {"GET", "/", {}, ""}, options,
                [&](const Response* response, ExchangeFailure kind) {
                  EXPECT_EQ(response, nullptr);
                  failure = kind;
                });
  ASSERT_TRUE(runUntil([&] { return failure.has_value(); }));
  EXPECT_EQ(failure, ExchangeFailure::BodyTruncated);
}

}  // namespace
}  // namespace switchsaddle::http
