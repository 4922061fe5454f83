#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "switchsaddle/routing/arm.h"

namespace switchsaddle::routing {

/** One arm under consideration for a prompt. */
struct Candidate {
  Arm* arm = nullptr;
  /** Prompt tokens expected in the worker's prefix cache. */
  std::uint32_t cached_tokens = 0;
  /** Estimated time to the first token. */
  double first_token_s = 0;
  /** The worker follows the chain's homes on the ring; all fronts send it the prompts that the
   * homes cannot take. */
  bool overflow_home = false;
  /** placementCost(); zero if candidates are not ranked by cost. */
  double cost = 0;
};

/** A half-open range of arm ranks. */
struct RankRange {
  std::size_t begin = 0;
  std::size_t end = 0;

  std::size_t size() const { return end - begin; }
  bool contains(std::size_t rank) const { return rank >= begin && rank < end; }
};

/**
 * The candidates of one prompt. Invariant: each candidate is usable, not excluded, within the lane,
 * and listed once. Reused between prompts, so that the request path does not allocate. Runs on the
 * control strand.
 */
class CandidateSet {
 public:
  /**
   * Starts a new prompt without candidates.
   *
   * @param excluded ids of workers that must not be used; must outlive the prompt.
   * @param lane ranks that candidates must have.
   */
  void reset(std::span<const std::string> excluded, RankRange lane);
  /**
   * Adds the arm if it may be used; if it is listed already, raises its cached tokens.
   *
   * @return whether the arm was added.
   */
  bool add(Arm& arm, std::uint32_t cached_tokens);
  /** Whether a stage of the arm runs on an excluded worker. */
  bool isExcluded(const Arm& arm) const;
  const RankRange& lane() const { return lane_; }
  bool empty() const { return candidates_.empty(); }
  std::size_t size() const { return candidates_.size(); }
  std::vector<Candidate>& candidates() { return candidates_; }

 private:
  std::vector<Candidate> candidates_;
  std::span<const std::string> excluded_;
  RankRange lane_;
};

}  // namespace switchsaddle::routing
