#include "acceptor_set_goal.h"

#include "acceptor_members.h"
#include "register_state.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::registers {

bool AcceptorSetGoal::reachedBy(const wire::AcceptorSet& set) const {
  const bool left = !leaving || !containsMember(set.members, *leaving);
  const bool joined = !joining || containsMember(set.members, *joining);
  return left && joined;
}

base::ResultCode AcceptorSetGoal::check(const wire::AcceptorSet& set) const {
  if (leaving && !containsMember(set.members, *leaving)) {
    return base::ResultCode::AcceptorSetChanged;
  }
  for (const wire::AcceptorMember& member : set.members) {
    const bool stays = !leaving || member != *leaving;
    if (stays && joining && member.address == joining->address) {
      return base::ResultCode::InvalidValue;
    }
  }
  const bool empties = leaving && !joining && set.members.size() == 1;
  return empties ? base::ResultCode::InvalidValue : base::ResultCode::Ok;
}

wire::AcceptorSet AcceptorSetGoal::jointSet(const wire::AcceptorSet& base) const {
  wire::AcceptorSet joint;
  joint.epoch = base.epoch + 1;
  joint.previous = base.members;
  joint.members = base.members;
  if (leaving) {
    std::erase(joint.members, *leaving);
  }
  if (joining) {
    joint.members.push_back(*joining);
  }
  return joint;
}

std::optional<wire::AcceptorSet> readAcceptorSet(const std::string& value) {
  try {
    return decodeAcceptorSet(value);
  } catch (const base::Error&) {
    return std::nullopt;
  }
}

ChangeFunction swapAcceptorSet(std::uint64_t base_epoch, const wire::AcceptorSet& next) {
  return [base_epoch, next](const std::string& current) -> std::optional<std::string> {
    // Bootstrap commits the first set without writing it to the register.
    const auto set = current.empty() ? wire::AcceptorSet{1, {}, {}} : readAcceptorSet(current);
    if (!set || set->epoch != base_epoch) {
      return std::nullopt;
    }
    return encodeAcceptorSet(next);
  };
}

}  // namespace switchsaddle::registers
