#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "switchsaddle/fuzz/target.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::fuzz {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr const char* ValidResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\ngood";
constexpr const char* ChunkedResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n"
    "Field: value\r\n\r\n";
constexpr const char* InterimResponse =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end";
/** Time limit for the end of an exchange whose server has closed the connection. */
constexpr auto ExchangeTimeout = std::chrono::seconds(20);

/** Collects the body of an exchange and notes its end. */
class EndObserver : public http::ExchangeObserver {
 public:
  void onResponseHead(const http::Response& /*head*/) override {}
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    body += bytes;
    resume();
  }
  void onComplete() override { ended = true; }
  void onFailure(http::ExchangeFailure /*failure*/, bool /*refused*/) override { ended = true; }

  std::string body;
  bool ended = false;
};

/** A client whose server sends given bytes in two pieces and closes the connection. */
class LoopbackClient {
 public:
  LoopbackClient() { accept(); }

  /** @return the body that the client has read of these bytes. */
  std::string exchange(const std::string& bytes) {
    bytes_ = bytes;
    const auto observer = std::make_shared<EndObserver>();
    const base::NodeAddress address{"127.0.0.1", acceptor_.local_endpoint().port()};
    http::ExchangeOptions options;
    options.fresh_connection = true;
    const auto exchange = client_->start(address, {"GET", "/", {}, ""}, options, observer);
    const auto end = std::chrono::steady_clock::now() + ExchangeTimeout;
    while (!observer->ended && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    if (!observer->ended) {
      throw Violation("an exchange did not end within 20 s after its connection had");
    }
    return observer->body;
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (!error) {
        socket_ = std::move(socket);
        send();
        accept();
      }
    });
  }

  void send() {
    const auto half = boost::asio::buffer(bytes_, bytes_.size() / 2);
    boost::asio::async_write(*socket_, half, [this](const error_code&, std::size_t written) {
      const auto rest = boost::asio::buffer(bytes_) + written;
      boost::asio::async_write(*socket_, rest,
                               [this](const error_code&, std::size_t) { awaitRequest(); });
    });
  }

  /** Reads the request, so that closing does not reset the connection, then closes it. */
  void awaitRequest() {
    request_.resize(RequestBytes);
    socket_->async_read_some(boost::asio::buffer(request_),
                             [this](const error_code&, std::size_t) { socket_.reset(); });
  }

  static constexpr std::size_t RequestBytes = 4'096;

  boost::asio::io_context context_;
  tcp::acceptor acceptor_{context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  std::optional<tcp::socket> socket_;
  std::string bytes_;
  std::string request_;
  std::unique_ptr<http::Client> client_ = http::createClient(context_);
};

}  // namespace

Target httpClientTarget() {
  auto client = std::make_shared<LoopbackClient>();
  return {"http-client",
          {ValidResponse, ChunkedResponse, InterimResponse},
          [client](const std::string& input) {
            client->exchange(input);
            const std::string body = client->exchange(ValidResponse);
            if (body != "good") {
              throw Violation("unexpected body of a valid response after the input: " + body);
            }
          }};
}

}  // namespace switchsaddle::fuzz
