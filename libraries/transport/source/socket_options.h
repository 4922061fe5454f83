#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::transport {

/** @param error set if the IP address is invalid. */
boost::asio::ip::tcp::endpoint toEndpoint(const base::NodeAddress& address,
                                          boost::system::error_code& error);

/**
 * Disables Nagle's algorithm and enables the detection of an unresponsive peer by keep-alive probes
 * and unacknowledged bytes.
 * @param user_timeout time for which sent bytes may stay unacknowledged.
 */
void setConnectionOptions(boost::asio::ip::tcp::socket& socket, base::Duration user_timeout);

/**
 * Lets another process listen on the port that the kernel chooses for this connection. Without it a
 * node that is started could not take its address for as long as the connection lasts.
 */
void shareLocalPort(boost::asio::ip::tcp::socket& socket);

/**
 * Binds the socket to the IP address at which peers reach this node. Best effort: the connection
 * also works without it.
 */
void bindLocalAddress(boost::asio::ip::tcp::socket& socket, const base::NodeAddress& local,
                      const boost::asio::ip::tcp::endpoint& peer);

/**
 * @return whether the socket is connected to itself. On Linux this happens if no process listens on
 * the peer's port and the kernel chooses the same port as the local one.
 */
bool isConnectedToItself(const boost::asio::ip::tcp::socket& socket);

}  // namespace switchsaddle::transport
