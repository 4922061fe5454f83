#pragma once

#include <cstdint>

#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/router_context.h"

namespace switchsaddle::routing {

/**
 * Decides which arms this front may scout, and when: workers that are warming up are limited by
 * slow start, and each arm is scouted at intervals that grow with the number of fronts. Runs on the
 * control strand.
 */
class ScoutPolicy {
 public:
  /**
   * @param context must outlive this object.
   * @param self_hash hash of this front's address; orders arms of equal mass differently on each
   * front.
   */
  ScoutPolicy(const RouterContext& context, std::uint64_t self_hash)
      : context_(context), self_hash_(self_hash) {}

  /** Whether slow start admits a prompt on the arm's workers now. */
  bool isAdmitted(const Arm& arm) const;
  /** Whether the scout interval has passed since this front last scouted the arm. The interval
   * grows with the number of fronts, so that the rate of scouts from the whole fleet is bounded. */
  bool isDue(const Arm& arm) const;
  /** @return the least measured arm that may be scouted and is not excluded, or null. */
  Arm* nextScout(ModelPool& pool, const CandidateSet& candidates) const;

 private:
  void refresh(ModelPool& pool) const;
  bool isScoutable(const ModelPool& pool, const Arm& arm) const;

  const RouterContext& context_;
  std::uint64_t self_hash_;
};

}  // namespace switchsaddle::routing
