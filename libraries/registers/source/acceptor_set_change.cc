#include "switchsaddle/registers/acceptor_set_change.h"

#include <algorithm>
#include <utility>

#include "register_state.h"
#include "register_transfer.h"
#include "set_install_round.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::registers {

namespace {

bool contains(const std::vector<wire::AcceptorMember>& members,
              const wire::AcceptorMember& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

/** The set in the register; nothing where its value cannot be understood. */
std::optional<wire::AcceptorSet> readSet(const std::string& value) {
  try {
    return decodeAcceptorSet(value);
  } catch (const base::Error&) {
    return std::nullopt;
  }
}

/** The compare-and-swap of the acceptor set from one epoch to the next. */
ChangeFunction swapFrom(std::uint64_t base_epoch, const wire::AcceptorSet& next) {
  return [base_epoch, next](const std::string& present) -> std::optional<std::string> {
    // The first set is settled by Bootstrap and not written to the register.
    const auto set = present.empty() ? wire::AcceptorSet{1, {}, {}} : readSet(present);
    if (!set || set->epoch != base_epoch) {
      return std::nullopt;
    }
    return encodeAcceptorSet(next);
  };
}

}  // namespace

AcceptorSetChange::AcceptorSetChange(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                     Acceptor& acceptor, QuorumProposer& proposer,
                                     AcceptorSetChangeOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      acceptor_(acceptor),
      proposer_(proposer),
      options_(options),
      retry_timer_(dispatcher.createTimer([this] { learn(); })) {}

AcceptorSetChange::~AcceptorSetChange() {
  if (transfer_) {
    transfer_->cancel();
  }
}

void AcceptorSetChange::replace(const wire::AcceptorMember& old_member,
                                const wire::AcceptorMember& new_member, Callback callback) {
  begin({old_member, new_member}, std::move(callback));
}

void AcceptorSetChange::add(const wire::AcceptorMember& new_member, Callback callback) {
  begin({std::nullopt, new_member}, std::move(callback));
}

void AcceptorSetChange::remove(const wire::AcceptorMember& old_member, Callback callback) {
  begin({old_member, std::nullopt}, std::move(callback));
}

void AcceptorSetChange::resume(Callback callback) {
  begin({}, std::move(callback));
}

void AcceptorSetChange::begin(Goal goal, Callback callback) {
  if (active_) {
    dispatcher_.post(
        [callback = std::move(callback)] { callback(base::ResultCode::AcceptorSetChanged); });
    return;
  }
  active_ = true;
  giving_up_ = false;
  goal_ = std::move(goal);
  callback_ = std::move(callback);
  joint_ = {};
  progress();
  learn();
}

void AcceptorSetChange::progress() {
  last_progress_ = dispatcher_.now();
}

void AcceptorSetChange::learn() {
  proposer_.read(AcceptorSetRegister,
                 [this, alive = std::weak_ptr(alive_)](const RegisterOutcome& outcome) {
                   if (!alive.expired()) {
                     onChosen(outcome, 0);
                   }
                 });
}

void AcceptorSetChange::onChosen(const RegisterOutcome& outcome, std::uint64_t base_epoch) {
  if (outcome.code != base::ResultCode::Ok) {
    retryLater();
    return;
  }
  if (!outcome.value.empty()) {
    const std::optional<wire::AcceptorSet> chosen = readSet(outcome.value);
    if (!chosen) {
      finish(base::ResultCode::RecordCorrupt);
      return;
    }
    if (chosen->epoch > acceptor_.acceptorSet().epoch) {
      progress();
      acceptor_.installSet(*chosen, [](bool) {});
    }
  }
  if (acceptor_.acceptorSet().epoch <= base_epoch) {
    // The swap was refused although nothing newer is known here: asking again at once would find
    // the same, round after round.
    retryLater();
    return;
  }
  evaluate();
}

void AcceptorSetChange::evaluate() {
  const wire::AcceptorSet set = acceptor_.acceptorSet();
  if (!set.previous.empty()) {
    joint_ = set;
    giving_up_ ? rollBack() : installJoint();
    return;
  }
  if (giving_up_ || goalMet(set)) {
    installFinal(set);
    return;
  }
  const base::ResultCode allowed = checkGoal(set);
  if (allowed != base::ResultCode::Ok) {
    finish(allowed);
    return;
  }
  proposeJoint(set);
}

bool AcceptorSetChange::goalMet(const wire::AcceptorSet& set) const {
  const bool left = !goal_.leaving || !contains(set.members, *goal_.leaving);
  const bool joined = !goal_.joining || contains(set.members, *goal_.joining);
  return left && joined;
}

base::ResultCode AcceptorSetChange::checkGoal(const wire::AcceptorSet& set) const {
  const bool leaving_is_member = !goal_.leaving || contains(set.members, *goal_.leaving);
  if (!leaving_is_member) {
    return base::ResultCode::AcceptorSetChanged;
  }
  for (const wire::AcceptorMember& member : set.members) {
    const bool stays = !goal_.leaving || member != *goal_.leaving;
    if (stays && goal_.joining && member.address == goal_.joining->address) {
      return base::ResultCode::InvalidValue;
    }
  }
  const bool empties = goal_.leaving && !goal_.joining && set.members.size() == 1;
  return empties ? base::ResultCode::InvalidValue : base::ResultCode::Ok;
}

void AcceptorSetChange::proposeJoint(const wire::AcceptorSet& base) {
  wire::AcceptorSet next;
  next.epoch = base.epoch + 1;
  next.previous = base.members;
  next.members = base.members;
  if (goal_.leaving) {
    std::erase(next.members, *goal_.leaving);
  }
  if (goal_.joining) {
    next.members.push_back(*goal_.joining);
  }
  proposeNext(base.epoch, next);
}

void AcceptorSetChange::proposeNext(std::uint64_t base_epoch, const wire::AcceptorSet& next) {
  proposer_.change(AcceptorSetRegister, swapFrom(base_epoch, next),
                   [this, alive = std::weak_ptr(alive_), base_epoch](const auto& outcome) {
                     if (!alive.expired()) {
                       onChosen(outcome, base_epoch);
                     }
                   });
}

void AcceptorSetChange::installJoint() {
  installAtMembers(calls_, joint_, joint_, options_.call_timeout,
                   [this, alive = std::weak_ptr(alive_)](const SetInstallResult& result) {
                     if (!alive.expired()) {
                       onJointInstalled(result);
                     }
                   });
}

void AcceptorSetChange::onJointInstalled(const SetInstallResult& result) {
  if (result.newest.epoch > joint_.epoch) {
    progress();
    acceptor_.installSet(result.newest, [](bool) {});
    evaluate();
    return;
  }
  to_transfer_.clear();
  bool joined = true;
  for (const wire::AcceptorMember& member : joint_.members) {
    if (!contains(joint_.previous, member)) {
      to_transfer_.push_back(member);
      joined = joined && result.synced.contains(member.instance);
    }
  }
  if (!result.quorum || !joined) {
    retryLater();
    return;
  }
  progress();
  transferNext();
}

void AcceptorSetChange::transferNext() {
  if (to_transfer_.empty() || options_.test_skip_transfer) {
    proposeFinal(joint_.members);
    return;
  }
  transfer_ = std::make_shared<RegisterTransfer>(
      calls_, proposer_, joint_, to_transfer_.back(),
      RegisterTransferOptions{options_.call_timeout, options_.page_limit});
  transfer_->start([this] { progress(); }, [this](bool complete) { onCopied(complete); });
}

void AcceptorSetChange::onCopied(bool complete) {
  if (!complete) {
    retryLater();
    return;
  }
  to_transfer_.pop_back();
  transferNext();
}

void AcceptorSetChange::proposeFinal(const std::vector<wire::AcceptorMember>& members) {
  wire::AcceptorSet next;
  next.epoch = joint_.epoch + 1;
  next.members = members;
  proposeNext(joint_.epoch, next);
}

void AcceptorSetChange::installFinal(const wire::AcceptorSet& final_set) {
  // Where this driver saw the joint set, those who leave are told too.
  const bool follows = joint_.epoch != 0 && final_set.epoch == joint_.epoch + 1;
  installAtMembers(calls_, final_set, follows ? joint_ : final_set, options_.call_timeout,
                   [this, alive = std::weak_ptr(alive_),
                    epoch = final_set.epoch](const SetInstallResult& result) {
                     if (alive.expired()) {
                       return;
                     }
                     if (result.newest.epoch > epoch) {
                       acceptor_.installSet(result.newest, [](bool) {});
                     }
                     if (!result.quorum) {
                       retryLater();
                       return;
                     }
                     finish(giving_up_ ? base::ResultCode::NoQuorum : base::ResultCode::Ok);
                   });
}

void AcceptorSetChange::retryLater() {
  const bool idle = dispatcher_.now() - last_progress_ > options_.idle_limit;
  if (!idle) {
    retry_timer_->enable(options_.retry_pause);
    return;
  }
  const bool joint = !acceptor_.acceptorSet().previous.empty();
  if (giving_up_ || !joint) {
    finish(base::ResultCode::NoQuorum);
    return;
  }
  giving_up_ = true;
  progress();
  rollBack();
}

void AcceptorSetChange::rollBack() {
  joint_ = acceptor_.acceptorSet();
  // Every quorum of the joint set held a majority of the previous members, so they lack nothing.
  proposeFinal(joint_.previous);
}

void AcceptorSetChange::finish(base::ResultCode code) {
  active_ = false;
  retry_timer_->disable();
  dispatcher_.post([callback = std::move(callback_), code] { callback(code); });
}

}  // namespace switchsaddle::registers
