#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <set>

namespace switchsaddle::http {

class ServerConnection;

/**
 * The open connections of a server. When there is no room for another connection or request, it
 * chooses which of them gives way: never one whose request is being answered. Runs on the server's
 * strand.
 */
class ConnectionTable {
 public:
  using Clock = std::chrono::steady_clock;

  std::size_t size() const { return connections_.size(); }
  void add(std::shared_ptr<ServerConnection> connection);
  void remove(const std::shared_ptr<ServerConnection>& connection);
  void closeAll();

  /** Closes the connection that has waited longest. @return false if none may be closed. */
  bool displaceConnection();
  /**
   * Frees the memory of the unfinished request, or the unread response, that has been held longest.
   * @param requester the connection that needs the memory; it is spared.
   * @return false if there is none beyond its protected time.
   */
  bool displaceRequest(const ServerConnection& requester);
  /** Closes the connections whose client has not read for the write time-out. */
  void closeStalled();

 private:
  using Condition = std::function<bool(const ServerConnection&)>;

  /** @return the connection in its phase for the longest time of those that fulfil the condition.
   */
  std::shared_ptr<ServerConnection> oldest(const Condition& condition) const;

  std::set<std::shared_ptr<ServerConnection>> connections_;
};

}  // namespace switchsaddle::http
