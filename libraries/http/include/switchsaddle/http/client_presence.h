#pragma once

#include <memory>
#include <mutex>

namespace switchsaddle::http {

/**
 * Whether the client that sent a request still waits for the answer, as far as its connection
 * shows. Looks at the connection when asked: after a freeze the close of a client that left may lie
 * unread behind other work of the process. Thread-safe.
 *
 * Invariant: once the client has left, it stays so.
 */
class ClientPresence {
 public:
  /** @return whether the connection has ended, or the client has closed its sending side. */
  bool hasLeft() const;

  /** Called by the server: hasLeft() looks at this open socket until unwatch() or leave(). */
  void watch(int socket);
  /** Called by the server: hasLeft() does not look at a socket. */
  void unwatch();
  /** Called by the server before the connection is closed. */
  void leave();

 private:
  static constexpr int NoSocket = -1;

  mutable std::mutex mutex_;
  mutable bool has_left_ = false;
  int socket_ = NoSocket;
};

using ClientPresencePtr = std::shared_ptr<const ClientPresence>;

}  // namespace switchsaddle::http
