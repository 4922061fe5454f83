#pragma once

#include <functional>
#include <string>
#include <utility>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/core/configuration/change_coordinator.h"
#include "switchsaddle/core/configuration/in_force_tracker.h"
#include "switchsaddle/core/node/core_faults.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::core {

/**
 * Commits changes in the configuration register, applies the result to this node's replica, and
 * waits until it is in force on every front with a live session.
 *
 * The decision is made inside the register's change function. Exactly one of two changes with the
 * same base version is committed, and a retried change finds its recorded outcome. The reported
 * outcome is the one recorded in the committed value, not that of the function's last run. A
 * rejected change is reported at once. A committed one is reported when it is in force, or at the
 * acknowledgement deadline, counted from its submission. Callers wait until that deadline, counted
 * from the arrival of their order. The event `change-ended` reports the change, its outcome and
 * durations.
 * Runs on the control strand.
 */
class RegisterChangeCoordinator : public ChangeCoordinator {
 public:
  RegisterChangeCoordinator(base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
                            dissemination::ConfigurationReplica& replica, InForceTracker& tracker,
                            base::IncidentSink& incidents, base::Duration acknowledgement_deadline,
                            CoreFaults faults = {});

  /**
   * Receives the delta of each version committed by this node, before it is applied to the local
   * replica. The delta, sent to the peer cores, saves them a read of the register.
   */
  using CommittedListener = std::function<void(const wire::ConfigurationDelta&)>;
  void setCommittedListener(CommittedListener listener) { listener_ = std::move(listener); }

  void submit(const configuration::Change& change, bool dry_run, const Caller& caller,
              std::function<void(const ChangeAnswer&)> callback) override;
  bool isAwaited(const Caller& caller) const override;
  void submitSource(const configuration::SourceUpdate& update,
                    std::function<void(const ChangeAnswer&)> callback) override;
  void submitOrder(Decide decide, const std::string& change_id, const Caller& caller,
                   std::function<void(const ChangeAnswer&)> callback) override;
  void submitEvacuation(const std::string& zone, bool evacuated, const Caller& caller,
                        std::function<void(const ChangeAnswer&)> callback) override;

 private:
  using Callback = std::function<void(const ChangeAnswer&)>;

  /** A change in progress. */
  struct Submission {
    /** Identifies the recorded decision; empty if the caller gave no identifier. */
    std::string change_id;
    /** Names the change in the log. */
    std::string name;
    base::TimePoint begun_at;
  };

  Submission submissionOf(const std::string& change_id) const;
  void commit(Decide decide, const Submission& submission, Callback callback);
  /** @return the function, which decides for OrderExpired once the caller no longer waits. */
  Decide whileCallerWaits(Decide decide, const Caller& caller) const;
  void check(const configuration::Change& change, Callback callback);
  void applyCommitted(const configuration::Document& document);
  void onCommitted(const registers::RegisterOutcome& outcome,
                   const configuration::ChangeDecision& decision, const Submission& submission,
                   const Callback& callback);
  void awaitInForce(const ChangeAnswer& answer, const Submission& submission, Callback callback);
  void report(const ChangeAnswer& answer, const Submission& submission,
              base::Duration commit_duration, base::Duration wait_duration,
              const InForceOutcome& in_force);

  base::Dispatcher& dispatcher_;
  registers::RegisterProposer& proposer_;
  dissemination::ConfigurationReplica& replica_;
  InForceTracker& tracker_;
  base::IncidentSink& incidents_;
  base::Duration acknowledgement_deadline_;
  CoreFaults faults_;
  CommittedListener listener_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
