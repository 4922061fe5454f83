#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace switchsaddle::routing {

/** Identifies a worker within one router. */
using WorkerNumber = std::uint16_t;
inline constexpr WorkerNumber NoWorker = 0xffff;

/**
 * Maps each prefix chain to the workers it was last sent to. A set-associative table of 16-byte
 * cells, four to a set, with least-recently-used replacement; no allocation after construction. At
 * 740,000 chains it takes 16 MB. Runs on the control strand.
 */
class PrefixIndex {
 public:
  static constexpr std::size_t WorkersPerChain = 2;
  using Workers = std::array<WorkerNumber, WorkersPerChain>;

  /** @param chains capacity; rounded up to a power of two. */
  explicit PrefixIndex(std::size_t chains);
  /** @return the workers this chain was last sent to, most recent first, padded with NoWorker. */
  Workers find(std::uint64_t chain) const;
  /** Records that the chain was sent to the worker. */
  void add(std::uint64_t chain, WorkerNumber worker);
  /** Removes a worker that may have lost the chain from its cache. */
  void forget(std::uint64_t chain, WorkerNumber worker);
  std::size_t bytes() const { return cells_.size() * sizeof(Cell); }

 private:
  static constexpr std::size_t CellsPerSet = 4;
  struct Cell {
    std::uint64_t chain = 0;
    std::uint32_t used = 0;
    Workers workers{NoWorker, NoWorker};
  };

  std::size_t setOf(std::uint64_t chain) const;
  const Cell* lookup(std::uint64_t chain) const;
  /** @return the chain's cell; replaces the least recently used one of its set if there is none. */
  Cell& cellFor(std::uint64_t chain);

  std::vector<Cell> cells_;
  std::size_t set_mask_;
  std::uint32_t use_counter_ = 0;
};

}  // namespace switchsaddle::routing
