#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::front {

/**
 * A worker that answers the requests of all connections with the scripted bytes, in their order;
 * after the last it closes the connection. Each request must fit into one read.
 */
class ScriptedWorker {
 public:
  explicit ScriptedWorker(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  void answerNextWith(std::string bytes) { script_.push_back(std::move(bytes)); }
  /** Makes the worker close the connection on which it sends the last scripted bytes. */
  void closeAfterScript() { closes_after_script_ = true; }
  base::NodeAddress address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int connections() const { return connections_; }
  const std::vector<std::string>& requests() const { return requests_; }

  /** @return a complete response with the given header lines. */
  static std::string response(int status, std::string_view header_lines,
                              std::string_view body = "") {
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    bytes += header_lines;
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    bytes += body;
    return bytes;
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, Socket socket) {
      if (error) {
        return;
      }
      ++connections_;
      read(std::make_shared<Socket>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<Socket>& socket) {
    auto bytes = std::make_shared<std::array<char, 4096>>();
    socket->async_read_some(
        boost::asio::buffer(*bytes),
        [this, socket, bytes](const boost::system::error_code& error, std::size_t count) {
          if (error) {
            return;
          }
          requests_.emplace_back(bytes->data(), count);
          if (!script_.empty()) {
            answer(socket);
          }
        });
  }

  void answer(const std::shared_ptr<Socket>& socket) {
    boost::system::error_code ignored;
    boost::asio::write(*socket, boost::asio::buffer(script_.front()), ignored);
    script_.pop_front();
    if (closes_after_script_ && script_.empty()) {
      return;
    }
    read(socket);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::deque<std::string> script_;
  std::vector<std::string> requests_;
  int connections_ = 0;
  bool closes_after_script_ = false;
};

}  // namespace switchsaddle::front
