#include "client_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace switchsaddle::http {

namespace {

constexpr std::size_t IdleConnectionsEach = 64;
/** Below a server's own limit, so that it rarely closes a connection first. */
constexpr base::Duration IdleLimit = std::chrono::seconds(30);
/** A request must not meet the server closing the connection. */
constexpr base::Duration LeaveEarly = std::chrono::milliseconds(200);
constexpr auto SweepInterval = std::chrono::seconds(10);

/** True where the peer has neither closed the connection nor sent anything. */
bool isSilent(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::optional<ClientPool::Socket> ClientPool::take(const PoolKey& key, base::Duration idle_limit) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  std::vector<Idle>& connections = found->second;
  const auto now = std::chrono::steady_clock::now();
  while (!connections.empty()) {
    Idle idle = std::move(connections.back());
    connections.pop_back();
    const bool fresh = now - idle.since <= idle_limit && now < idle.until;
    if (fresh && isSilent(idle.socket)) {
      return std::move(idle.socket);
    }
  }
  idle_.erase(found);
  return std::nullopt;
}

void ClientPool::put(const PoolKey& key, Socket socket, std::optional<base::Duration> kept_for) {
  dropOld();
  std::vector<Idle>& connections = idle_[key];
  if (connections.size() < IdleConnectionsEach) {
    const auto now = std::chrono::steady_clock::now();
    const base::Duration usable = kept_for ? *kept_for * 4 / 5 - LeaveEarly : IdleLimit;
    connections.push_back({std::move(socket), now, now + usable});
  }
}

void ClientPool::dropOld() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_sweep_ < SweepInterval) {
    return;
  }
  last_sweep_ = now;
  for (auto& [key, connections] : idle_) {
    std::erase_if(connections, [now](const Idle& idle) { return now >= idle.until; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace switchsaddle::http
