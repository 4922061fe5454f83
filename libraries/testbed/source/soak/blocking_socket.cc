#include "switchsaddle/testbed/soak/blocking_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

constexpr std::size_t ReadBytes = 16U << 10U;

sockaddr_in toSocketAddress(const base::NodeAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  if (::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
    throw base::Error(base::ResultCode::InvalidAddress, "not an IPv4 address: " + address.ip);
  }
  return result;
}

/** @return whether the descriptor has one of the events within the limit. */
bool waitFor(int descriptor, short events, base::Duration limit) {
  pollfd entry{descriptor, events, 0};
  const auto limit_ms = std::max<std::int64_t>(0, base::toMilliseconds(limit));
  return ::poll(&entry, 1, static_cast<int>(limit_ms)) > 0;
}

int openSocket(int flags) {
  return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
}

/** Connects to the address from a free port and sets the descriptor to blocking again. */
ConnectOutcome connectDescriptor(int descriptor, const sockaddr_in& target, base::Duration limit) {
  const auto* address = reinterpret_cast<const sockaddr*>(&target);
  if (::connect(descriptor, address, sizeof(target)) != 0) {
    if (errno == ECONNREFUSED) {
      return ConnectOutcome::Refused;
    }
    if (errno != EINPROGRESS || !waitFor(descriptor, POLLOUT, limit)) {
      return ConnectOutcome::Failed;
    }
  }
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    return error == ECONNREFUSED ? ConnectOutcome::Refused : ConnectOutcome::Failed;
  }
  return ConnectOutcome::Connected;
}

}  // namespace

BlockingSocket::BlockingSocket(BlockingSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

BlockingSocket& BlockingSocket::operator=(BlockingSocket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

ConnectOutcome BlockingSocket::connect(const base::NodeAddress& address, base::Duration limit) {
  close();
  descriptor_ = openSocket(SOCK_NONBLOCK);
  const ConnectOutcome outcome = connectDescriptor(descriptor_, toSocketAddress(address), limit);
  if (outcome != ConnectOutcome::Connected) {
    close();
    return outcome;
  }
  const int enabled = 1;
  ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return outcome;
}

bool BlockingSocket::write(std::string_view bytes) {
  constexpr base::Duration WriteLimit = std::chrono::seconds(5);
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
      return false;
    }
    if (sent < 0 && !waitFor(descriptor_, POLLOUT, WriteLimit)) {
      return false;
    }
    bytes.remove_prefix(sent < 0 ? 0 : static_cast<std::size_t>(sent));
  }
  return true;
}

bool BlockingSocket::waitForBytes(base::Duration limit) const {
  return waitFor(descriptor_, POLLIN, limit);
}

ReadOutcome BlockingSocket::read(std::string& out, Clock::time_point deadline) {
  if (!waitForBytes(deadline - Clock::now())) {
    return ReadOutcome::TimedOut;
  }
  std::array<char, ReadBytes> bytes{};
  const ssize_t received = ::recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (received < 0) {
    return errno == EAGAIN ? ReadOutcome::TimedOut : ReadOutcome::Reset;
  }
  out.append(bytes.data(), static_cast<std::size_t>(received));
  return received == 0 ? ReadOutcome::Closed : ReadOutcome::Bytes;
}

void BlockingSocket::reset() {
  const linger at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close();
}

void BlockingSocket::close() {
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
}

BlockingListener::BlockingListener(const base::NodeAddress& address)
    : descriptor_(openSocket(SOCK_NONBLOCK)), address_(address) {
  const int enabled = 1;
  ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in local = toSocketAddress(address);
  auto* local_address = reinterpret_cast<sockaddr*>(&local);
  socklen_t length = sizeof(local);
  const bool listening = ::bind(descriptor_, local_address, length) == 0 &&
                         ::listen(descriptor_, SOMAXCONN) == 0 &&
                         ::getsockname(descriptor_, local_address, &length) == 0;
  if (!listening) {
    ::close(descriptor_);
    throw base::Error(base::ResultCode::InvalidAddress, "cannot listen on " + address.toString());
  }
  address_.port = ntohs(local.sin_port);
}

BlockingListener::~BlockingListener() {
  // A process that was forked meanwhile may still hold the socket.
  ::shutdown(descriptor_, SHUT_RDWR);
  ::close(descriptor_);
}

std::optional<BlockingSocket> BlockingListener::accept(base::Duration limit) {
  if (!waitFor(descriptor_, POLLIN, limit)) {
    return std::nullopt;
  }
  const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) {
    return std::nullopt;
  }
  const int enabled = 1;
  ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return BlockingSocket(accepted);
}

}  // namespace switchsaddle::testbed
