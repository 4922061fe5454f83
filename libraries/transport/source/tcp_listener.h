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
   * @throws base::Error with InvalidAddress, or AddressUnavailable if it cannot be taken now.
   */
  Listener(std::shared_ptr<Shared> shared, const base::NodeAddress& listen);

  /** Accepts connections until close(). */
  void accept();
  /** Closes the listening socket and all connections. */
  void close();
  /** Removes a connection that has ended. */
  void remove(const std::shared_ptr<IncomingConnection>& connection);
  /**
   * Makes room for a frame by closing the connections whose unfinished frames are oldest.
   * @param requester is spared.
   * @return whether the bytes are within the limit.
   */
  bool makeRoom(std::size_t bytes, const IncomingConnection& requester);

 private:
  void addConnection(boost::asio::ip::tcp::socket socket);
  /**
   * Closes the connection that has delivered no frame for the longest time.
   * @param requester is spared, as are connections without an unfinished frame if it is given.
   * @return false if there is none.
   */
  bool displace(const IncomingConnection* requester);
  /** Retries after an error such as a lack of file descriptors. */
  void retryAccept();

  std::shared_ptr<Shared> shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::set<std::shared_ptr<IncomingConnection>> connections_;
};

}  // namespace switchsaddle::transport
