#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "switchsaddle/fuzz/target.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::fuzz {

namespace {

using boost::asio::ip::tcp;

constexpr const char* ValidRequest =
    "POST /good HTTP/1.1\r\nHost: fuzz\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
/** Time limit for the answer to an input, or for the close of its connection. */
constexpr auto AnswerTimeout = std::chrono::seconds(20);

/** A server that answers each request with its path. exchange() runs its event loop. */
class LoopbackServer {
 public:
  LoopbackServer() {
    http::ServerLimits limits;
    limits.body_bytes = 4096;
    limits.header_bytes = 2048;
    server_ =
        http::startServer(context_, {"127.0.0.1", 0}, limits,
                          [](const http::Request& request, const http::ResponseWriterPtr& writer) {
                            http::Response response;
                            response.body = request.target;
                            writer->respond(std::move(response));
                          });
  }

  /** Sends the bytes, shuts down the sending side and returns everything that the server answers.
   */
  std::string exchange(const std::string& bytes) {
    tcp::socket socket(context_);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server_->address().port}, error);
    std::string answer;
    std::array<char, 4096> buffer{};
    bool ended = false;
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(buffer),
                             [&](const boost::system::error_code& fault, std::size_t count) {
                               answer.append(buffer.data(), count);
                               ended = static_cast<bool>(fault);
                               if (!ended) {
                                 read();
                               }
                             });
    };
    boost::asio::async_write(socket, boost::asio::buffer(bytes),
                             [&socket](const boost::system::error_code&, std::size_t) {
                               boost::system::error_code ignored;
                               socket.shutdown(tcp::socket::shutdown_send, ignored);
                             });
    read();
    const auto end = std::chrono::steady_clock::now() + AnswerTimeout;
    while (!ended && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    socket.close(error);
    context_.restart();
    context_.poll();
    if (!ended) {
      throw Violation("the server neither answered nor closed the connection within 20 s");
    }
    return answer;
  }

 private:
  boost::asio::io_context context_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace

Target httpServerTarget() {
  auto server = std::make_shared<LoopbackServer>();
  return {"http-server", {ValidRequest}, [server](const std::string& input) {
            server->exchange(input);
            const std::string answer = server->exchange(ValidRequest);
            const bool is_expected =
                answer.starts_with("HTTP/1.1 200") && answer.ends_with("/good");
            if (!is_expected) {
              throw Violation("unexpected answer to a valid request after the input: " + answer);
            }
          }};
}

}  // namespace switchsaddle::fuzz
