#include "switchsaddle/testbed/crowd/crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>
#include <vector>

namespace switchsaddle::testbed {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadBytes = 16U << 10U;
/** Pause after a piece; and interval at which the crowd looks whether it is to end. */
constexpr auto PiecePause = std::chrono::milliseconds(2);
constexpr auto EndCheckInterval = std::chrono::milliseconds(50);

}  // namespace

/** One connection after another of the crowd, all following the script. Runs on the crowd's thread.
 */
class Crowd::Client {
 public:
  Client(Crowd& crowd, asio::io_context& context, const CrowdSize& size)
      : crowd_(crowd),
        socket_(context),
        timer_(context),
        endpoint_(asio::ip::make_address(crowd.target_.ip), crowd.target_.port),
        pause_(size.pause),
        reconnects_left_(size.reconnects) {}

  void connect() {
    ++connection_;
    sent_ = 0;
    socket_.async_connect(endpoint_, [this, connection = connection_](const error_code& error) {
      if (connection != connection_) {
        return;
      }
      if (error) {
        onClosed();
        return;
      }
      error_code ignored;
      socket_.set_option(tcp::no_delay(true), ignored);
      if (crowd_.script_.afterwards == CrowdAfterwards::ReadAndStay) {
        read();
      }
      write();
    });
  }

 private:
  std::size_t scriptBytes() const {
    return crowd_.script_.opening.size() + crowd_.script_.filler_bytes;
  }

  /** @return what follows the bytes sent so far. */
  asio::const_buffer next() const {
    const CrowdScript& script = crowd_.script_;
    if (sent_ < script.opening.size()) {
      return asio::buffer(script.opening) + sent_;
    }
    const std::size_t filler_sent = sent_ - script.opening.size();
    const std::size_t offset = filler_sent % script.filler.size();
    const std::size_t left = script.filler_bytes - filler_sent;
    return asio::buffer(asio::buffer(script.filler) + offset, left);
  }

  asio::const_buffer nextPiece() const {
    const std::size_t piece_bytes = crowd_.script_.piece_bytes;
    return piece_bytes == 0 ? next() : asio::buffer(next(), piece_bytes);
  }

  void write() {
    if (sent_ >= scriptBytes()) {
      settle();
      return;
    }
    socket_.async_write_some(
        nextPiece(), [this, connection = connection_](const error_code& error, std::size_t bytes) {
          if (connection != connection_) {
            return;
          }
          sent_ += bytes;
          crowd_.bytes_sent_ += bytes;
          if (error) {
            onClosed();
          } else {
            writeOn();
          }
        });
  }

  /** Writes on, after a pause if the script is sent in pieces. */
  void writeOn() {
    if (crowd_.script_.piece_bytes == 0) {
      write();
      return;
    }
    timer_.expires_after(PiecePause);
    timer_.async_wait([this, connection = connection_](const error_code& error) {
      if (!error && connection == connection_) {
        write();
      }
    });
  }

  void read() {
    socket_.async_read_some(asio::buffer(received_),
                            [this, connection = connection_](const error_code& error, std::size_t) {
                              if (connection != connection_) {
                                return;
                              }
                              if (error) {
                                onClosed();
                              } else {
                                read();
                              }
                            });
  }

  /** Invalidates the handlers of the closed connection, then comes back if it may. */
  void onClosed() {
    ++connection_;
    ++crowd_.closed_;
    error_code ignored;
    socket_.close(ignored);
    if (reconnects_left_-- <= 0) {
      settle();
      return;
    }
    timer_.expires_after(pause_);
    timer_.async_wait([this](const error_code& error) {
      if (!error) {
        connect();
      }
    });
  }

  void settle() {
    if (!std::exchange(settled_, true)) {
      --crowd_.unsettled_;
    }
  }

  Crowd& crowd_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  tcp::endpoint endpoint_;
  base::Duration pause_;
  int reconnects_left_;
  /** Number of the connection; handlers of an earlier one do nothing. */
  std::uint64_t connection_ = 0;
  std::size_t sent_ = 0;
  bool settled_ = false;
  std::array<char, ReadBytes> received_{};
};

Crowd::Crowd(base::NodeAddress target, CrowdScript script, const CrowdSize& size)
    : target_(std::move(target)),
      script_(std::move(script)),
      unsettled_(size.clients * script_.connections),
      thread_([this, size] { run(size); }) {}

Crowd::~Crowd() {
  ended_ = true;
  thread_.join();
}

void Crowd::run(const CrowdSize& size) {
  asio::io_context context(1);
  std::vector<std::unique_ptr<Client>> clients;
  for (int count = 0; count < size.clients * script_.connections; ++count) {
    clients.push_back(std::make_unique<Client>(*this, context, size));
    clients.back()->connect();
  }
  const auto work = asio::make_work_guard(context);
  while (!ended_) {
    context.run_for(EndCheckInterval);
  }
}

}  // namespace switchsaddle::testbed
