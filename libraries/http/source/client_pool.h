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

  /** The connection last put back that is still sound. */
  std::optional<Socket> take(const PoolKey& key);
  void put(const PoolKey& key, Socket socket);

 private:
  struct Idle {
    Socket socket;
    std::chrono::steady_clock::time_point since;
  };

  void dropOld();

  std::map<PoolKey, std::vector<Idle>> idle_;
  std::chrono::steady_clock::time_point last_sweep_ = std::chrono::steady_clock::now();
};

}  // namespace switchsaddle::http
