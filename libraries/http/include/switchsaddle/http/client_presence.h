#pragma once

#include <atomic>
#include <memory>

namespace switchsaddle::http {

/**
 * Whether the client that sent a request still waits for the answer, as far as its connection
 * shows. Thread-safe.
 */
class ClientPresence {
 public:
  /** @return whether the connection has ended, or the client has closed its sending side. */
  bool hasLeft() const { return has_left_.load(); }
  /** Called by the server. */
  void leave() { has_left_.store(true); }

 private:
  std::atomic<bool> has_left_{false};
};

using ClientPresencePtr = std::shared_ptr<const ClientPresence>;

}  // namespace switchsaddle::http
