#include "connection_table.h"

#include <utility>
#include <vector>

#include "server_connection.h"

namespace switchsaddle::http {

void ConnectionTable::add(std::shared_ptr<ServerConnection> connection) {
  connections_.insert(std::move(connection));
}

void ConnectionTable::remove(const std::shared_ptr<ServerConnection>& connection) {
  connections_.erase(connection);
}

void ConnectionTable::closeAll() {
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->close();
  }
}

std::shared_ptr<ServerConnection> ConnectionTable::oldest(const Condition& condition) const {
  std::shared_ptr<ServerConnection> found;
  for (const auto& connection : connections_) {
    const bool is_older = !found || connection->phaseStart() < found->phaseStart();
    if (is_older && condition(*connection)) {
      found = connection;
    }
  }
  return found;
}

bool ConnectionTable::displaceConnection() {
  const auto now = Clock::now();
  const auto found = oldest([now](const ServerConnection& connection) {
    return connection.isWaiting() || connection.isOverdue(now);
  });
  if (!found) {
    return false;
  }
  found->close();
  return true;
}

bool ConnectionTable::displaceRequest(const ServerConnection& requester) {
  const auto now = Clock::now();
  const auto found = oldest([now, &requester](const ServerConnection& connection) {
    return &connection != &requester && connection.holdsMemory() && connection.isOverdue(now);
  });
  if (!found) {
    return false;
  }
  found->displaceRequest();
  return true;
}

void ConnectionTable::closeStalled() {
  const auto now = Clock::now();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->closeIfStalled(now);
  }
}

}  // namespace switchsaddle::http
