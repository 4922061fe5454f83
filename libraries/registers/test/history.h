#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::registers {

/**
 * The operations of the clients of one register, with their outcomes. Each change replaces
 * "N/previous writer" by "N+1/writer". In a linearizable history every change therefore has its own
 * number, and an operation never has a lower number than one that ended before it started.
 */
class History {
 public:
  /** Records the start of an operation. @return its index. */
  std::size_t begin(bool is_change, base::TimePoint now);
  /** The change function of the operation. */
  static ChangeFunction increment(std::size_t operation);
  void end(std::size_t operation, const RegisterOutcome& outcome, base::TimePoint now);
  /** @return the first violation found; empty if the history is linearizable. */
  std::string violation() const;
  std::size_t succeeded() const;
  std::size_t started() const { return operations_.size(); }

 private:
  struct Operation {
    bool is_change = false;
    base::TimePoint started;
    base::TimePoint ended;
    bool succeeded = false;
    std::uint64_t number = 0;
    /** The operation that wrote the value read; empty if the register was never written. */
    std::string writer;
    bool changed = false;
  };
  std::string writerViolation() const;
  std::string orderViolation() const;

  std::vector<Operation> operations_;
};

}  // namespace switchsaddle::registers
