#pragma once

#include <optional>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::registers {

/** The members that a change of the acceptor set removes and adds. Empty if the change only
 * finishes one that another driver began. */
struct AcceptorSetGoal {
  std::optional<wire::AcceptorMember> leaving;
  std::optional<wire::AcceptorMember> joining;

  bool reachedBy(const wire::AcceptorSet& set) const;
  /**
   * Ok if the goal can be reached from this set; AcceptorSetChanged if the leaving member is not in
   * it; InvalidValue if the joining member's address belongs to another member or if no member
   * would remain.
   */
  base::ResultCode check(const wire::AcceptorSet& set) const;
  /** @return the joint set between `base` and the set that reaches the goal. */
  wire::AcceptorSet jointSet(const wire::AcceptorSet& base) const;
};

/** @return the set in a value of AcceptorSetRegister, or std::nullopt if it cannot be decoded. */
std::optional<wire::AcceptorSet> readAcceptorSet(const std::string& value);

/** @return the compare-and-swap of AcceptorSetRegister from the set of `base_epoch` to `next`. */
ChangeFunction swapAcceptorSet(std::uint64_t base_epoch, const wire::AcceptorSet& next);

}  // namespace switchsaddle::registers
