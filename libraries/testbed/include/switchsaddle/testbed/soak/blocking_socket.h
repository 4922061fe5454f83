#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** How an attempt to connect ended. */
enum class ConnectOutcome : std::uint8_t { Connected, Refused, Failed };

/** How a read ended. */
enum class ReadOutcome : std::uint8_t {
  Bytes,
  /** The peer closed its sending side. */
  Closed,
  /** The peer, or its kernel, reset the connection. */
  Reset,
  TimedOut,
};

/**
 * A TCP socket with blocking calls, for stand-ins that must see what the kernel tells of a
 * connection: closed is not the same as reset. Used by one thread at a time; owns its descriptor.
 */
class BlockingSocket {
 public:
  using Clock = std::chrono::steady_clock;

  BlockingSocket() = default;
  /** Takes ownership of a connected descriptor. */
  explicit BlockingSocket(int descriptor) : descriptor_(descriptor) {}
  ~BlockingSocket() { close(); }
  BlockingSocket(BlockingSocket&& other) noexcept;
  BlockingSocket& operator=(BlockingSocket&& other) noexcept;
  BlockingSocket(const BlockingSocket&) = delete;
  BlockingSocket& operator=(const BlockingSocket&) = delete;

  bool isOpen() const { return descriptor_ >= 0; }
  ConnectOutcome connect(const base::NodeAddress& address, base::Duration limit);
  /** @return false if the connection is closed or reset. */
  bool write(std::string_view bytes);
  /** @return whether there are bytes to read, or the connection has ended, within the limit. */
  bool waitForBytes(base::Duration limit) const;
  /** Waits for bytes until the deadline and appends them to `out`. */
  ReadOutcome read(std::string& out, Clock::time_point deadline);
  /** Closes the connection with a reset. */
  void reset();
  void close();

 private:
  int descriptor_ = -1;
};

/** A listening TCP socket with blocking calls. */
class BlockingListener {
 public:
  /** Throws base::Error with InvalidAddress. */
  explicit BlockingListener(const base::NodeAddress& address);
  ~BlockingListener();
  BlockingListener(const BlockingListener&) = delete;
  BlockingListener& operator=(const BlockingListener&) = delete;

  /** The address with the port that was bound. */
  base::NodeAddress address() const { return address_; }
  /** @return a connection, or std::nullopt if there is none within the limit. */
  std::optional<BlockingSocket> accept(base::Duration limit);

 private:
  int descriptor_ = -1;
  base::NodeAddress address_;
};

}  // namespace switchsaddle::testbed
