#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::http {

/** Idle connections with the same key are interchangeable. */
struct PoolKey {
  /** The server's address. */
  base::NodeAddress address;
  /** Local address that the connection is bound to; empty for any. */
  std::string local_ip;

  auto operator<=>(const PoolKey&) const = default;
};

/**
 * Pool of idle keep-alive connections. Invariant: a connection that the server has closed or sent
 * unexpected bytes on is never reused. Runs on the client's strand.
 */
class ClientPool {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /** @param maximum_connections number of connections that are kept, of all keys together. */
  explicit ClientPool(std::size_t maximum_connections)
      : maximum_connections_(maximum_connections) {}

  /** @return the most recently released usable connection idle for at most `idle_limit`. */
  std::optional<Socket> acquire(const PoolKey& key, base::Duration idle_limit);
  /**
   * Adds an idle connection; closes it if the pool of the key is full. If the whole pool is full,
   * it takes the place of the connection that has been idle longest.
   * @param keep_alive_timeout time for which the server keeps the connection, if it sent one.
   */
  void release(const PoolKey& key, Socket socket, std::optional<base::Duration> keep_alive_timeout);

 private:
  using Clock = std::chrono::steady_clock;

  struct IdleConnection {
    Socket socket;
    Clock::time_point idle_since;
    /** Time from which the server may close the connection. */
    Clock::time_point expires_at;
  };

  using Connections = std::map<PoolKey, std::vector<IdleConnection>>;

  /** Closes expired connections, once in each sweep interval. */
  void sweep();
  /** Closes the connection that has been idle longest. */
  void closeOldest();
  std::size_t size() const;

  std::size_t maximum_connections_;
  /** The connections of each key, in the order of their release. */
  Connections idle_;
  Clock::time_point last_sweep_ = Clock::now();
};

}  // namespace switchsaddle::http
