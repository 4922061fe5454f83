#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::http {

/**
 * Opens the socket for a connection to the endpoint.
 * @param local_ip numeric address to bind to; empty for any.
 */
boost::system::error_code openClientSocket(boost::asio::ip::tcp::socket& socket,
                                           const boost::asio::ip::tcp::endpoint& endpoint,
                                           const std::string& local_ip);

/**
 * Sets the options of a connected socket.
 * @param user_timeout time for which bytes or keep-alive probes may stay unacknowledged; zero keeps
 *     the system's default.
 */
void setClientSocketOptions(boost::asio::ip::tcp::socket& socket, base::Duration user_timeout);

/**
 * @return whether the socket is connected to itself, which Linux does if the server's port is free
 *     and chosen as the local port.
 */
bool isConnectedToItself(const boost::asio::ip::tcp::socket& socket);

}  // namespace switchsaddle::http
