#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "switchsaddle/routing/arm.h"

namespace switchsaddle::routing {

/**
 * Looks up arms of one model by signature, by prefill worker, and by consistent hashing of a prefix
 * chain. Rebuilt whenever the pool's arms change; it does not own the arms. Requires that the arms
 * of one prefill worker are adjacent in the pool. Runs on the control strand.
 */
class ArmIndex {
 public:
  /** Points of each prefill worker on the hash ring: more points balance the chains better, fewer
   * make a large ring cheaper to build. A power of two, so that few points move when the pool's
   * size changes. */
  static constexpr std::size_t MinimumPoints = 16;
  static constexpr std::size_t MaximumPoints = 128;
  /** Points of all workers that the ring is sized for. */
  static constexpr std::size_t RingSize = 16'384;
  using Arms = std::span<const ArmPtr>;

  /** @param arms must outlive the index or be followed by another rebuild(). */
  void rebuild(const std::vector<ArmPtr>& arms);
  /** @return the arm with this signature, or null. */
  Arm* findSignature(const std::string& signature) const;
  /** @return the arms whose prefill stage runs on the worker. */
  Arms armsOf(WorkerNumber prefill) const;
  /**
   * @param replica index of the home among the chain's homes, from 0.
   * @return the arms of the chain's home worker. Fronts with equal endpoint lists agree on it.
   */
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

  void buildRing();
  void addPoints(const WorkerRecord& worker, std::size_t count);

  Arms arms_;
  /** Indexed by worker number. */
  std::vector<Range> ranges_;
  std::unordered_map<std::string, Arm*> by_signature_;
  /** Sorted by hash. */
  std::vector<Point> ring_;
};

}  // namespace switchsaddle::routing
