#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

class RegisterTransfer;
struct SetInstallResult;

/** Bounds of a change of the acceptor set. */
struct AcceptorSetChangeOptions {
  base::Duration call_timeout = std::chrono::milliseconds(400);
  base::Duration retry_pause = std::chrono::milliseconds(50);
  /** A change without progress for this long is rolled back and ends with NoQuorum. */
  base::Duration idle_limit = std::chrono::seconds(4);
  std::uint32_t page_limit = 200;
  /** Leaves out the copy of the registers. For tests only: it loses committed values. */
  bool test_skip_transfer = false;
};

/**
 * Changes the acceptor set by one member. The sets form a chain, each chosen by a compare-and-swap
 * of the register AcceptorSetRegister in the set before it. A change goes from set M (epoch e) by a
 * joint set (e+1: majorities of M and of M') to M' (e+2). Before M' is proposed, a majority of M
 * has synced the joint set, so that no quorum of M alone can form any more, and the new member has
 * synced every register that a majority of M then held. A change whose driver died is finished, or
 * taken back, by any later driver. docs/design/registers.md holds the argument. Runs on the
 * acceptor's strand; drives one change at a time.
 */
class AcceptorSetChange {
 public:
  /**
   * Ok; AcceptorSetChanged: another change is under way here, or the set no longer allows this one;
   * InvalidValue: the new member's address belongs to another member; NoQuorum: no progress;
   * RecordCorrupt: the register of the set cannot be understood.
   */
  using Callback = std::function<void(base::ResultCode)>;

  AcceptorSetChange(base::Dispatcher& dispatcher, transport::PeerCalls& calls, Acceptor& acceptor,
                    QuorumProposer& proposer, AcceptorSetChangeOptions options = {});
  ~AcceptorSetChange();
  AcceptorSetChange(const AcceptorSetChange&) = delete;
  AcceptorSetChange& operator=(const AcceptorSetChange&) = delete;

  void replace(const wire::AcceptorMember& old_member, const wire::AcceptorMember& new_member,
               Callback callback);
  void add(const wire::AcceptorMember& new_member, Callback callback);
  void remove(const wire::AcceptorMember& old_member, Callback callback);
  /** Learns the newest set and finishes the change which a driver left under way, if any. */
  void resume(Callback callback);
  bool active() const { return active_; }

 private:
  struct Goal {
    std::optional<wire::AcceptorMember> leaving;
    std::optional<wire::AcceptorMember> joining;
  };

  void begin(Goal goal, Callback callback);
  void learn();
  void evaluate();
  bool goalMet(const wire::AcceptorSet& set) const;
  /** Ok where the goal can be reached from this set. */
  base::ResultCode checkGoal(const wire::AcceptorSet& set) const;
  void proposeJoint(const wire::AcceptorSet& base);
  void proposeNext(std::uint64_t base_epoch, const wire::AcceptorSet& next);
  /** Goes on from the chosen set; pauses first where none above `base_epoch` is known. */
  void onChosen(const RegisterOutcome& outcome, std::uint64_t base_epoch);
  void installJoint();
  void onJointInstalled(const SetInstallResult& result);
  void transferNext();
  void onCopied(bool complete);
  void proposeFinal(const std::vector<wire::AcceptorMember>& members);
  void installFinal(const wire::AcceptorSet& final_set);
  void progress();
  void retryLater();
  void rollBack();
  void finish(base::ResultCode code);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  Acceptor& acceptor_;
  QuorumProposer& proposer_;
  AcceptorSetChangeOptions options_;
  base::TimerPtr retry_timer_;
  bool active_ = false;
  bool giving_up_ = false;
  Goal goal_;
  Callback callback_;
  base::TimePoint last_progress_{};
  /** The joint set being worked on; the final set is installed at majorities of both its lists. */
  wire::AcceptorSet joint_;
  /** New members that have yet to be given the registers. */
  std::vector<wire::AcceptorMember> to_transfer_;
  std::shared_ptr<RegisterTransfer> transfer_;
  /** Expires with this object, so that callbacks do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::registers
