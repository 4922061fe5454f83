#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "tcp_transport_state.h"

namespace switchsaddle::transport {

/** Accepts connections from peers and owns them while they are open. Runs on the dispatcher's
 * strand. */
class TcpTransport::Listener : public std::enable_shared_from_this<Listener> {
 public:
  /**
   * Binds and listens; sets Shared::local.
   * @throws base::Error with InvalidAddress.
   */
  Listener(std::shared_ptr<Shared> shared, const base::NodeAddress& listen);

  /** Accepts connections until close(). */
  void accept();
  /** Closes the listening socket and all connections. */
  void close();

 private:
  void addConnection(boost::asio::ip::tcp::socket socket);
  /** Retries after an error such as a lack of file descriptors. */
  void retryAccept();

  std::shared_ptr<Shared> shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::set<std::shared_ptr<IncomingConnection>> connections_;
};

}  // namespace switchsaddle::transport
