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

/** Which idle connections may stand in for each other. */
struct PoolKey {
  base::NodeAddress address;
  std::string local_ip;

  auto operator<=>(const PoolKey&) const = default;
};

/**
 * Idle keep-alive connections. One that the server has closed, or on which it sent something
 * unasked, is never handed out. Runs on the client's strand.
 */
class ClientPool {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /** The connection last put back that is still sound and has been idle for at most `idle_limit`.
   */
  std::optional<Socket> take(const PoolKey& key, base::Duration idle_limit);
  /** `kept_for`: how long the server says it keeps the connection, where it does. */
  void put(const PoolKey& key, Socket socket, std::optional<base::Duration> kept_for);

 private:
  struct Idle {
    Socket socket;
    std::chrono::steady_clock::time_point since;
    /** From then on the server may close it at any moment. */
    std::chrono::steady_clock::time_point until;
  };

  void dropOld();

  std::map<PoolKey, std::vector<Idle>> idle_;
  std::chrono::steady_clock::time_point last_sweep_ = std::chrono::steady_clock::now();
};

}  // namespace switchsaddle::http
