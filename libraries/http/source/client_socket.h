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
 * @param probes_when_idle whether the kernel probes the connection while no bytes are in flight,
 *     and ends it if the peer's machine does not respond.
 */
void setClientSocketOptions(boost::asio::ip::tcp::socket& socket, bool probes_when_idle);

/** @return the number of written bytes that the peer's machine has not acknowledged. */
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

/** Makes the next close of the socket reset the connection, so that bytes in flight are lost. */
void resetOnClose(boost::asio::ip::tcp::socket& socket);

/**
 * @return whether the socket is connected to itself, which Linux does if the server's port is free
 *     and chosen as the local port.
 */
bool isConnectedToItself(const boost::asio::ip::tcp::socket& socket);

}  // namespace switchsaddle::http
