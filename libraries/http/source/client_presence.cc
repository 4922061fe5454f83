#include "switchsaddle/http/client_presence.h"

#include <sys/socket.h>

#include <cerrno>

namespace switchsaddle::http {

namespace {

/** @return whether the peer has closed the connection, or its sending side. */
bool hasPeerClosed(int socket) {
  char byte = 0;
  const ssize_t peeked = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_open = peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EINTR));
  return !is_open;
}

}  // namespace

bool ClientPresence::hasLeft() const {
  const std::lock_guard lock(mutex_);
  if (!has_left_ && socket_ != NoSocket) {
    has_left_ = hasPeerClosed(socket_);
  }
  return has_left_;
}

void ClientPresence::watch(int socket) {
  const std::lock_guard lock(mutex_);
  socket_ = socket;
}

void ClientPresence::unwatch() {
  const std::lock_guard lock(mutex_);
  socket_ = NoSocket;
}

void ClientPresence::leave() {
  const std::lock_guard lock(mutex_);
  has_left_ = true;
  socket_ = NoSocket;
}

}  // namespace switchsaddle::http
