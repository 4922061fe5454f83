#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace switchsaddle::base {

/**
 * A bound on the bytes that many holders keep together. Each holder takes them through a
 * ByteReservation. A part of the budget is open to small holders only, so that a few large ones
 * cannot take all of it. Thread-safe.
 *
 * Invariant: what tryTake() has granted never exceeds the limit; only force() can.
 */
class ByteBudget {
 public:
  /** A holder of at most this many bytes counts as small. */
  static constexpr std::size_t SmallHolderBytes = 64U << 10U;

  /** @param limit_bytes what all holders may keep together. */
  explicit ByteBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_.load(); }
  bool isExceeded() const { return used() > limit_; }
  /** @return what holders that are not small may fill. */
  std::size_t limitOfLargeHolders() const { return limit_ - limit_ / 4; }

 private:
  friend class ByteReservation;

  /** @param holder_bytes what the holder keeps once it has been granted the bytes. */
  bool tryTake(std::size_t bytes, std::size_t holder_bytes);
  void force(std::size_t bytes) { used_ += bytes; }
  void release(std::size_t bytes) { used_ -= bytes; }

  const std::size_t limit_;
  std::atomic<std::size_t> used_{0};
};

/** The bytes of one holder; given back on destruction. Thread-safe. */
class ByteReservation {
 public:
  /** Holds no bytes yet. */
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
  ~ByteReservation() { budget_->release(held_); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /** @return whether the budget had room for the further bytes; without room nothing changes. */
  bool tryGrow(std::size_t bytes);
  /**
   * Holds exactly this many bytes from now on.
   * @return whether the budget had room for what is more than before; without room nothing changes.
   */
  bool tryTo(std::size_t bytes);
  /** Holds exactly this many bytes from now on, even beyond the budget. */
  void forceTo(std::size_t bytes);
  std::size_t held() const { return held_.load(); }

 private:
  std::shared_ptr<ByteBudget> budget_;
  std::atomic<std::size_t> held_{0};
};

using ByteReservationPtr = std::shared_ptr<ByteReservation>;

}  // namespace switchsaddle::base
