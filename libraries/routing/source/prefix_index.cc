#include "switchsaddle/routing/prefix_index.h"

#include <bit>

namespace switchsaddle::routing {

PrefixIndex::PrefixIndex(std::size_t chains)
    : cells_(std::bit_ceil(chains < CellsPerSet ? CellsPerSet : chains)),
      set_mask_(cells_.size() / CellsPerSet - 1) {}

std::size_t PrefixIndex::setOf(std::uint64_t chain) const {
  return (static_cast<std::size_t>(chain >> 17U) & set_mask_) * CellsPerSet;
}

const PrefixIndex::Cell* PrefixIndex::lookup(std::uint64_t chain) const {
  const std::size_t first = setOf(chain);
  for (std::size_t offset = 0; offset < CellsPerSet; ++offset) {
    if (cells_[first + offset].chain == chain) {
      return &cells_[first + offset];
    }
  }
  return nullptr;
}

PrefixIndex::Workers PrefixIndex::find(std::uint64_t chain) const {
  const Cell* cell = lookup(chain);
  return cell == nullptr ? Workers{NoWorker, NoWorker} : cell->workers;
}

PrefixIndex::Cell& PrefixIndex::cellFor(std::uint64_t chain) {
  const std::size_t first = setOf(chain);
  std::size_t oldest = first;
  for (std::size_t index = first; index < first + CellsPerSet; ++index) {
    if (cells_[index].chain == chain) {
      return cells_[index];
    }
    if (cells_[index].used < cells_[oldest].used) {
      oldest = index;
    }
  }
  cells_[oldest] = Cell{};
  cells_[oldest].chain = chain;
  return cells_[oldest];
}

void PrefixIndex::add(std::uint64_t chain, WorkerNumber worker) {
  Cell& cell = cellFor(chain);
  cell.used = ++use_counter_;
  if (cell.workers[0] != worker) {
    cell.workers[1] = cell.workers[0];
    cell.workers[0] = worker;
  }
}

void PrefixIndex::forget(std::uint64_t chain, WorkerNumber worker) {
  if (lookup(chain) == nullptr) {
    return;
  }
  Cell& cell = cellFor(chain);
  if (cell.workers[0] == worker) {
    cell.workers[0] = cell.workers[1];
    cell.workers[1] = NoWorker;
  } else if (cell.workers[1] == worker) {
    cell.workers[1] = NoWorker;
  }
}

}  // namespace switchsaddle::routing
