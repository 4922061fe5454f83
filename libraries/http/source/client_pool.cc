#include "client_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace switchsaddle::http {

namespace {

constexpr std::size_t IdleConnectionsEach = 64;
/** Below a server's own limit, so that it rarely closes a connection first. */
constexpr auto IdleLimit = std::chrono::seconds(30);
constexpr auto SweepInterval = std::chrono::seconds(10);

/** True where the peer has neither closed the connection nor sent anything. */
bool isSilent(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::optional<ClientPool::Socket> ClientPool::take(const PoolKey& key) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  std::vector<Idle>& connections = found->second;
  const auto oldest = std::chrono::steady_clock::now() - IdleLimit;
  while (!connections.empty()) {
    Idle idle = std::move(connections.back());
    connections.pop_back();
    if (idle.since > oldest && isSilent(idle.socket)) {
      return std::move(idle.socket);
    }
  }
  idle_.erase(found);
  return std::nullopt;
}

void ClientPool::put(const PoolKey& key, Socket socket) {
  dropOld();
  std::vector<Idle>& connections = idle_[key];
  if (connections.size() < IdleConnectionsEach) {
    connections.push_back({std::move(socket), std::chrono::steady_clock::now()});
  }
}

void ClientPool::dropOld() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_sweep_ < SweepInterval) {
    return;
  }
  last_sweep_ = now;
  for (auto& [key, connections] : idle_) {
    std::erase_if(connections, [now](const Idle& idle) { return now - idle.since > IdleLimit; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace switchsaddle::http
