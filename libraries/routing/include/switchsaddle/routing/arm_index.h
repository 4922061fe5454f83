#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "switchsaddle/routing/arm.h"

namespace switchsaddle::routing {

/**
 * Finds arms of one model without looking at all of them: by signature, by prefill worker, and by
 * consistent hashing of a prefix chain. Rebuilt whenever the pool's arms change; holds no arm alive
 * by itself. Arms of one prefill worker must stand together in the pool.
 */
class ArmIndex {
 public:
  /** Points of each prefill worker on the ring; more spread the chains more evenly. */
  static constexpr std::size_t PointsPerWorker = 16;
  using Arms = std::span<const ArmPtr>;

  /** `arms` must outlive the index or be followed by another rebuild(). */
  void rebuild(const std::vector<ArmPtr>& arms);
  /** Null where there is none. */
  Arm* findSignature(const std::string& signature) const;
  Arms armsOf(WorkerNumber prefill) const;
  /** Calls `visit` with the arms of the chain's home worker, then of the next ones on the ring, up
   * to `count` distinct workers. All fronts with one list agree on them. */
  template <class Visitor>
  void forEachHome(std::uint64_t chain, std::size_t count, Visitor visit) const;

 private:
  struct Point {
    std::uint64_t hash = 0;
    WorkerNumber worker = NoWorker;
  };
  struct Range {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
  };

  void addPoints(const WorkerRecord& worker);
  std::size_t firstPointFrom(std::uint64_t hash) const;

  Arms arms_;
  /** By worker number. */
  std::vector<Range> ranges_;
  std::unordered_map<std::string, Arm*> by_signature_;
  /** Sorted by hash. */
  std::vector<Point> ring_;
};

template <class Visitor>
void ArmIndex::forEachHome(std::uint64_t chain, std::size_t count, Visitor visit) const {
  if (ring_.empty()) {
    return;
  }
  const std::size_t start = firstPointFrom(chain);
  WorkerNumber before = NoWorker;
  std::size_t visited = 0;
  for (std::size_t step = 0; step < ring_.size() && visited < count; ++step) {
    const WorkerNumber worker = ring_[(start + step) % ring_.size()].worker;
    if (worker != before) {
      visit(visited, armsOf(worker));
      before = worker;
      ++visited;
    }
  }
}

}  // namespace switchsaddle::routing
