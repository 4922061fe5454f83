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
  /** Points of each prefill worker on the ring; more spread the chains more evenly, fewer make a
   * large ring quicker to build. A power of two, so that few points come and go with the pool's
   * size. */
  static constexpr std::size_t FewestPoints = 16;
  static constexpr std::size_t MostPoints = 128;
  static constexpr std::size_t RingSize = 16'384;
  using Arms = std::span<const ArmPtr>;

  /** `arms` must outlive the index or be followed by another rebuild(). */
  void rebuild(const std::vector<ArmPtr>& arms);
  /** Null where there is none. */
  Arm* findSignature(const std::string& signature) const;
  Arms armsOf(WorkerNumber prefill) const;
  /** The arms of the chain's home worker; `replica` counts a chain's homes from 0. All fronts with
   * one list agree on them. */
  Arms homeOf(std::uint64_t chain, std::size_t replica) const;

 private:
  struct Point {
    std::uint64_t hash = 0;
    WorkerNumber worker = NoWorker;
  };
  struct Range {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
  };

  void addPoints(const WorkerRecord& worker, std::size_t count);
  void buildRing();

  Arms arms_;
  /** By worker number. */
  std::vector<Range> ranges_;
  std::unordered_map<std::string, Arm*> by_signature_;
  /** Sorted by hash. */
  std::vector<Point> ring_;
};

}  // namespace switchsaddle::routing
