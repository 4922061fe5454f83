#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::http {

/** Records the calls of an exchange; with `pauses` it does not resume reading the body. */
class RecordingObserver : public ExchangeObserver {
 public:
  void onResponseHead(const Response& response) override { head = response; }
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    body += bytes;
    if (pauses) {
      pending_resume = std::move(resume);
    } else {
      resume();
    }
  }
  void onComplete() override { ++completions; }
  void onFailure(ExchangeFailure kind, bool was_refused) override {
    ++failures;
    failure = kind;
    refused = was_refused;
  }
  bool ended() const { return completions + failures > 0; }

  std::optional<Response> head;
  std::string body;
  bool pauses = false;
  std::function<void()> pending_resume;
  int completions = 0;
  int failures = 0;
  std::optional<ExchangeFailure> failure;
  bool refused = false;
};

/** A loopback server and client on one io_context, which the test runs. */
class HttpFixture : public testing::Test {
 protected:
  static constexpr auto Limit = std::chrono::seconds(20);

  void serve(RequestHandler handler, const ServerLimits& limits = {}) {
    server = startServer(context, {"127.0.0.1", 0}, limits, std::move(handler));
  }

  /** Runs the context until the condition holds; @return false if it does not within the limit. */
  bool runUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + Limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  std::shared_ptr<RecordingObserver> exchange(Request request,
                                              const ExchangeOptions& options = {}) {
    auto observer = std::make_shared<RecordingObserver>();
    running = client->start(server->address(), std::move(request), options, observer);
    return observer;
  }

  /** Runs an exchange until it ends. */
  std::shared_ptr<RecordingObserver> run(Request request, const ExchangeOptions& options = {}) {
    auto observer = exchange(std::move(request), options);
    EXPECT_TRUE(runUntil([&] { return observer->ended(); }));
    return observer;
  }

  /** Connects a plain socket to the server, for input that the client class cannot send. */
  boost::asio::ip::tcp::socket connectRaw() {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->address().port});
    socket.non_blocking(true);
    return socket;
  }

  /** @return all bytes that the server sends until it closes the connection. */
  std::string readToEnd(boost::asio::ip::tcp::socket& socket) {
    std::string received;
    bool at_end = false;
    EXPECT_TRUE(runUntil([&] {
      std::array<char, 4096> bytes{};
      boost::system::error_code error;
      const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
      received.append(bytes.data(), count);
      at_end = error && error != boost::asio::error::would_block;
      return at_end;
    }));
    return received;
  }

  boost::asio::io_context context;
  std::unique_ptr<Server> server;
  std::unique_ptr<Client> client = createClient(context);
  std::shared_ptr<Exchange> running;
};

}  // namespace switchsaddle::http
