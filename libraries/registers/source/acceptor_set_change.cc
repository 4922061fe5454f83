#include "switchsaddle/registers/acceptor_set_change.h"

#include <algorithm>
#include <utility>

#include "acceptor_members.h"
#include "acceptor_set_goal.h"
#include "register_transfer.h"
#include "set_installation.h"

namespace switchsaddle::registers {

AcceptorSetChange::AcceptorSetChange(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                     Acceptor& acceptor, QuorumProposer& proposer,
                                     AcceptorSetChangeOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      acceptor_(acceptor),
      proposer_(proposer),
      options_(options),
      retry_timer_(dispatcher.createTimer([this] { learn(); })),
      goal_(std::make_unique<AcceptorSetGoal>()) {}

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

void AcceptorSetChange::begin(AcceptorSetGoal goal, Callback callback) {
  if (active_) {
    dispatcher_.post(
        [callback = std::move(callback)] { callback(base::ResultCode::AcceptorSetChanged); });
    return;
  }
  active_ = true;
  rolling_back_ = false;
  *goal_ = std::move(goal);
  callback_ = std::move(callback);
  joint_ = {};
  noteProgress();
  learn();
}

void AcceptorSetChange::noteProgress() {
  last_progress_ = dispatcher_.now();
}

void AcceptorSetChange::learn() {
  proposer_.read(AcceptorSetRegister, callbacks_.guard([this](const RegisterOutcome& outcome) {
    onChosen(outcome, 0);
  }));
}

void AcceptorSetChange::onChosen(const RegisterOutcome& outcome, std::uint64_t base_epoch) {
  if (outcome.code != base::ResultCode::Ok) {
    retryLater();
    return;
  }
  if (!outcome.value.empty()) {
    const std::optional<wire::AcceptorSet> chosen = readAcceptorSet(outcome.value);
    if (!chosen) {
      finish(base::ResultCode::RecordCorrupt);
      return;
    }
    if (chosen->epoch > acceptor_.acceptorSet().epoch) {
      noteProgress();
      acceptor_.installSet(*chosen, [](bool) {});
    }
  }
  if (acceptor_.acceptorSet().epoch <= base_epoch) {
    // The swap failed although this core has no newer set. An immediate retry would fail in the
    // same way.
    retryLater();
    return;
  }
  evaluate();
}

void AcceptorSetChange::evaluate() {
  const wire::AcceptorSet set = acceptor_.acceptorSet();
  if (!set.previous.empty()) {
    joint_ = set;
    rolling_back_ ? rollBack() : installJoint();
    return;
  }
  if (rolling_back_ || goal_->reachedBy(set)) {
    installFinal(set);
    return;
  }
  const base::ResultCode allowed = goal_->check(set);
  if (allowed != base::ResultCode::Ok) {
    finish(allowed);
    return;
  }
  propose(set.epoch, goal_->jointSet(set));
}

void AcceptorSetChange::propose(std::uint64_t base_epoch, const wire::AcceptorSet& next) {
  proposer_.change(AcceptorSetRegister, swapAcceptorSet(base_epoch, next),
                   callbacks_.guard([this, base_epoch](const RegisterOutcome& outcome) {
                     onChosen(outcome, base_epoch);
                   }));
}

void AcceptorSetChange::installJoint() {
  installAtMembers(
      calls_, joint_, joint_, options_.call_timeout,
      callbacks_.guard([this](const SetInstallResult& result) { onJointInstalled(result); }));
}

void AcceptorSetChange::onJointInstalled(const SetInstallResult& result) {
  if (result.newest.epoch > joint_.epoch) {
    noteProgress();
    acceptor_.installSet(result.newest, [](bool) {});
    evaluate();
    return;
  }
  to_transfer_ = joint_.members;
  std::erase_if(to_transfer_,
                [this](const auto& member) { return containsMember(joint_.previous, member); });
  const bool joined = std::ranges::all_of(to_transfer_, [&result](const auto& member) {
    return result.synced.contains(member.instance);
  });
  if (to_transfer_.empty()) {
    // Members that stay may lack what the leaving member and a bare majority have.
    to_transfer_ = joint_.members;
  }
  if (!result.quorum || !joined) {
    retryLater();
    return;
  }
  noteProgress();
  transferNext();
}

void AcceptorSetChange::transferNext() {
  if (to_transfer_.empty() || options_.test_skip_transfer) {
    proposeFinal(joint_.members);
    return;
  }
  transfer_ = std::make_shared<RegisterTransfer>(
      calls_, proposer_, joint_, to_transfer_.back(),
      RegisterTransferOptions{options_.call_timeout, options_.page_limit,
                              options_.test_skip_promises});
  transfer_->start([this] { noteProgress(); }, [this](bool complete) { onTransferred(complete); });
}

void AcceptorSetChange::onTransferred(bool complete) {
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
  propose(joint_.epoch, next);
}

void AcceptorSetChange::installFinal(const wire::AcceptorSet& final_set) {
  // If this driver has the joint set, the leaving members receive the final set as well.
  const bool follows = joint_.epoch != 0 && final_set.epoch == joint_.epoch + 1;
  installAtMembers(
      calls_, final_set, follows ? joint_ : final_set, options_.call_timeout,
      callbacks_.guard([this, final_epoch = final_set.epoch](const SetInstallResult& result) {
        onFinalInstalled(result, final_epoch);
      }));
}

void AcceptorSetChange::onFinalInstalled(const SetInstallResult& result,
                                         std::uint64_t final_epoch) {
  if (result.newest.epoch > final_epoch) {
    acceptor_.installSet(result.newest, [](bool) {});
  }
  if (!result.quorum) {
    retryLater();
    return;
  }
  finish(rolling_back_ ? base::ResultCode::NoQuorum : base::ResultCode::Ok);
}

void AcceptorSetChange::retryLater() {
  const bool idle = dispatcher_.now() - last_progress_ > options_.idle_limit;
  if (!idle) {
    retry_timer_->enable(options_.retry_pause);
    return;
  }
  const bool joint = !acceptor_.acceptorSet().previous.empty();
  if (rolling_back_ || !joint) {
    finish(base::ResultCode::NoQuorum);
    return;
  }
  rolling_back_ = true;
  noteProgress();
  rollBack();
}

void AcceptorSetChange::rollBack() {
  joint_ = acceptor_.acceptorSet();
  // Every quorum of the joint set contained a majority of the previous members, so that no register
  // needs a transfer.
  proposeFinal(joint_.previous);
}

void AcceptorSetChange::finish(base::ResultCode code) {
  active_ = false;
  retry_timer_->disable();
  dispatcher_.post([callback = std::move(callback_), code] { callback(code); });
}

}  // namespace switchsaddle::registers
