#include "client_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace switchsaddle::http {

namespace {

constexpr std::size_t MaximumConnectionsPerKey = 64;
/** Below the usual limit of servers, so that a server rarely closes a connection first. */
constexpr base::Duration DefaultIdleTimeout = std::chrono::seconds(30);
/** Margin before the server's time-out, so that it does not close during a request. */
constexpr base::Duration ExpiryMargin = std::chrono::milliseconds(200);
constexpr auto SweepInterval = std::chrono::seconds(10);

/** @return whether the peer has neither closed the connection nor sent anything. */
bool isUsable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::optional<ClientPool::Socket> ClientPool::acquire(const PoolKey& key,
                                                      base::Duration idle_limit) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  std::vector<IdleConnection>& connections = found->second;
  const auto now = Clock::now();
  while (!connections.empty()) {
    IdleConnection connection = std::move(connections.back());
    connections.pop_back();
    const bool is_fresh = now - connection.idle_since <= idle_limit && now < connection.expires_at;
    if (is_fresh && isUsable(connection.socket)) {
      Socket socket = std::move(connection.socket);
      if (connections.empty()) {
        idle_.erase(found);
      }
      return socket;
    }
  }
  idle_.erase(found);
  return std::nullopt;
}

void ClientPool::release(const PoolKey& key, Socket socket,
                         std::optional<base::Duration> keep_alive_timeout) {
  sweep();
  if (maximum_connections_ == 0 || idle_[key].size() >= MaximumConnectionsPerKey) {
    return;
  }
  if (size() >= maximum_connections_) {
    closeOldest();
  }
  const auto now = Clock::now();
  const base::Duration lifetime =
      keep_alive_timeout ? *keep_alive_timeout * 4 / 5 - ExpiryMargin : DefaultIdleTimeout;
  idle_[key].push_back({std::move(socket), now, now + lifetime});
}

std::size_t ClientPool::size() const {
  std::size_t connections = 0;
  for (const auto& [key, idle] : idle_) {
    connections += idle.size();
  }
  return connections;
}

void ClientPool::closeOldest() {
  const auto oldest = std::ranges::min_element(idle_, {}, [](const auto& entry) {
    return entry.second.empty() ? Clock::time_point::max() : entry.second.front().idle_since;
  });
  std::vector<IdleConnection>& connections = oldest->second;
  connections.erase(connections.begin());
}

void ClientPool::sweep() {
  const auto now = Clock::now();
  if (now - last_sweep_ < SweepInterval) {
    return;
  }
  last_sweep_ = now;
  for (auto& [key, connections] : idle_) {
    std::erase_if(connections,
                  [now](const IdleConnection& connection) { return now >= connection.expires_at; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace switchsaddle::http
