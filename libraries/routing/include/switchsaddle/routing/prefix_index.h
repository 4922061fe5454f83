#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace switchsaddle::routing {

/** Names a worker within one router by a small number. */
using WorkerNumber = std::uint16_t;
inline constexpr WorkerNumber NoWorker = 0xffff;

/**
 * Remembers which workers were last sent each chain of shared prefix parts. A fixed table of
 * 16-byte cells, four to a set, replaced least recently used first; no allocation after
 * construction. At 740,000 chains it takes 16 MB.
 */
class PrefixIndex {
 public:
  static constexpr std::size_t OwnersPerChain = 2;
  using Owners = std::array<WorkerNumber, OwnersPerChain>;

  /** `chains` is rounded up to a power of two. */
  explicit PrefixIndex(std::size_t chains);
  /** The workers last sent this chain, most recent first, NoWorker where there are fewer. */
  Owners find(std::uint64_t chain) const;
  void add(std::uint64_t chain, WorkerNumber worker);
  /** Removes a worker whose cache is gone. */
  void forget(std::uint64_t chain, WorkerNumber worker);
  std::size_t bytes() const { return cells_.size() * sizeof(Cell); }

 private:
  static constexpr std::size_t CellsPerSet = 4;
  struct Cell {
    std::uint64_t chain = 0;
    std::uint32_t used = 0;
    Owners owners{NoWorker, NoWorker};
  };

  std::size_t setOf(std::uint64_t chain) const;
  const Cell* lookup(std::uint64_t chain) const;
  /** The chain's cell, made in place of the least recently used one where there is none. */
  Cell& cellFor(std::uint64_t chain);

  std::vector<Cell> cells_;
  std::size_t set_mask_;
  std::uint32_t use_counter_ = 0;
};

}  // namespace switchsaddle::routing
