#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::simulation {

/** Thrown by the disk operation during which a process is killed or loses its power. Not a
 * std::exception, so that no error handling treats it as a disk error. */
struct DiskInterrupted {};

/** The operations that change a disk. */
enum class DiskOperation { CreateFolder, Write, SyncFile, SyncFolder, Rename, Remove };

/**
 * Counts the operations of a simulated disk and decides which of them fail, are torn or are
 * interrupted. Invariant: after an interruption every operation throws DiskInterrupted until
 * resume().
 */
class DiskFaultInjector {
 public:
  /** @param nth number of the failing operation among those of its kind from now on, from 1. */
  void failOnce(DiskOperation kind, std::uint64_t nth, base::ResultCode code);
  /** @param nth number of the interrupted operation among all from now on, from 1. */
  void interruptAt(std::uint64_t nth) { interrupt_at_ = operations_ + nth; }
  /** @param nth number of the torn write among the writes from now on, from 1. */
  void tearWrite(std::uint64_t nth);
  /** Removes pending failures and torn writes. */
  void clear();
  /** Ends an interruption. */
  void resume();

  /** @throws DiskInterrupted if the disk is interrupted. */
  void requireRunning() const;
  /**
   * Counts an operation.
   *
   * @return whether it is the one to be interrupted.
   * @throws DiskInterrupted if the disk was interrupted before.
   */
  bool count(DiskOperation kind);
  /** Counts an operation and throws what is injected for it. */
  void begin(DiskOperation kind);
  /** Whether the operation counted last in its kind is to fail. */
  bool isFailing(DiskOperation kind) const;
  /** @throws base::Error if the operation counted last in its kind is to fail. */
  void throwFault(DiskOperation kind);
  /** Whether the write counted last is torn. */
  bool isTorn() const { return tear_at_ == counts_[index(DiskOperation::Write)]; }
  bool interrupted() const { return interrupted_; }
  /** @return the number of counted operations. */
  std::uint64_t operations() const { return operations_; }
  std::uint64_t operations(DiskOperation kind) const { return counts_[index(kind)]; }

 private:
  static constexpr std::size_t KindCount = 6;
  struct Fault {
    std::uint64_t at;
    base::ResultCode code;
  };

  static std::size_t index(DiskOperation kind) { return static_cast<std::size_t>(kind); }

  std::array<std::uint64_t, KindCount> counts_{};
  std::array<std::optional<Fault>, KindCount> faults_{};
  std::optional<std::uint64_t> interrupt_at_;
  std::optional<std::uint64_t> tear_at_;
  std::uint64_t operations_ = 0;
  bool interrupted_ = false;
};

}  // namespace switchsaddle::simulation
