#include "client_pool.h"

#include <sys/socket.h>

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
      return std::move(connection.socket);
    }
  }
  idle_.erase(found);
  return std::nullopt;
}

void ClientPool::release(const PoolKey& key, Socket socket,
                         std::optional<base::Duration> keep_alive_timeout) {
  sweep();
  std::vector<IdleConnection>& connections = idle_[key];
  if (connections.size() < MaximumConnectionsPerKey) {
    const auto now = Clock::now();
    const base::Duration lifetime =
        keep_alive_timeout ? *keep_alive_timeout * 4 / 5 - ExpiryMargin : DefaultIdleTimeout;
    connections.push_back({std::move(socket), now, now + lifetime});
  }
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
