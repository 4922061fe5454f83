#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

struct AcceptorSetGoal;
class RegisterTransfer;
struct SetInstallResult;

/** Limits and intervals of a change of the acceptor set. */
struct AcceptorSetChangeOptions {
  /** Timeout of each request. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
  base::Duration retry_pause = std::chrono::milliseconds(50);
  /** A change without progress for this long is rolled back and ends with NoQuorum. */
  base::Duration idle_limit = std::chrono::seconds(4);
  /** Maximum number of registers in one page of the transfer to a new member. */
  std::uint32_t page_limit = 200;
  /** Leaves out the transfer of the registers. For tests only: it loses committed values. */
  bool test_skip_transfer = false;
  /** Transfers values without promises. For tests only: it may bring back older values. */
  bool test_skip_promises = false;
};

/**
 * Changes the acceptor set by one member. The sets form a chain, each chosen by a compare-and-swap
 * of AcceptorSetRegister in the set before it. A change goes from set M (epoch e) through a joint
 * set (e+1: majorities of M and of M') to M' (e+2).
 *
 * Invariant: before M' is proposed, a majority of M has synced the joint set, so that no quorum of
 * M alone can form any more, and the new member has synced every register that a majority of M had
 * at that time. If the driver of a change fails, another one can finish the change or roll it back.
 * docs/design/registers.md explains why this is safe.
 *
 * Runs on the acceptor's strand; drives one change at a time.
 */
class AcceptorSetChange {
 public:
  /**
   * Receives the result. Ok; AcceptorSetChanged: another change is in progress here, or the set no
   * longer contains the member to be removed; InvalidValue: the new member's address belongs to
   * another member, or no member would remain; NoQuorum: no progress; RecordCorrupt: the set's
   * register cannot be decoded.
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
  /** Reads the newest set, and finishes a change that another driver has not completed. */
  void resume(Callback callback);
  bool active() const { return active_; }

 private:
  void begin(AcceptorSetGoal goal, Callback callback);
  /** Reads the newest set from its register. */
  void learn();
  /** Takes the next step of the change, based on the local view of the acceptor set. */
  void evaluate();
  /** Proposes a set by a compare-and-swap from the one of `base_epoch`. */
  void propose(std::uint64_t base_epoch, const wire::AcceptorSet& next);
  /** Continues from the chosen set; pauses first if the local set is not above `base_epoch`. */
  void onChosen(const RegisterOutcome& outcome, std::uint64_t base_epoch);
  void installJoint();
  void onJointInstalled(const SetInstallResult& result);
  void transferNext();
  void onTransferred(bool complete);
  void proposeFinal(const std::vector<wire::AcceptorMember>& members);
  void installFinal(const wire::AcceptorSet& final_set);
  void onFinalInstalled(const SetInstallResult& result, std::uint64_t final_epoch);
  void noteProgress();
  /** Retries after a pause. After `idle_limit` without progress, rolls back or ends the change. */
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
  /** Whether the change is being rolled back for lack of progress. */
  bool rolling_back_ = false;
  std::unique_ptr<AcceptorSetGoal> goal_;
  Callback callback_;
  base::TimePoint last_progress_{};
  /** The joint set in progress; the final set is installed at majorities of both its lists. */
  wire::AcceptorSet joint_;
  /** New members to which the registers have not been copied yet. */
  std::vector<wire::AcceptorMember> to_transfer_;
  std::shared_ptr<RegisterTransfer> transfer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
