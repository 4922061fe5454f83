#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/core/change_coordinator.h"
#include "switchsaddle/core/core_faults.h"
#include "switchsaddle/core/in_force_tracker.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::core {

/**
 * Commits changes in the configuration register, takes the result into this node's replica, and
 * waits until it is in force on every front with a live session. The decision is taken inside the
 * register's change function, so that of two changes on one base version exactly one wins and a
 * change sent again finds its recorded result. What is answered is the result that the value in
 * force has recorded, not that of the function's last run. Refusals are answered at once; only a
 * committed change waits, at most until the acknowledgement deadline, counted from its arrival.
 * How each change ended, and how long its parts took, is reported as the event `change-ended`.
 * Runs on the control strand.
 */
class RegisterChangeCoordinator : public ChangeCoordinator {
 public:
  RegisterChangeCoordinator(base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
                            dissemination::ConfigurationReplica& replica, InForceTracker& tracker,
                            base::IncidentSink& incidents, base::Duration acknowledgement_deadline,
                            CoreFaults faults = {});

  /** Hears what led to each version committed here, before it is in force here: for the other core
   * nodes, so that they need not read the register. */
  using CommittedListener = std::function<void(const wire::ConfigurationDelta&)>;
  void setCommittedListener(CommittedListener listener) { listener_ = std::move(listener); }

  void submit(const configuration::Change& change, bool dry_run,
              std::function<void(const ChangeAnswer&)> callback) override;
  void submitSource(const configuration::SourceUpdate& update,
                    std::function<void(const ChangeAnswer&)> callback) override;
  void submitOrder(Decide decide, const std::string& change_id,
                   std::function<void(const ChangeAnswer&)> callback) override;
  void submitEvacuation(const std::string& zone, bool evacuated,
                        std::function<void(const ChangeAnswer&)> callback) override;

 private:
  using Callback = std::function<void(const ChangeAnswer&)>;

  /** `change_id` is empty where the decision is not recorded under one known beforehand. */
  void commit(Decide decide, const std::string& change_id, Callback callback);
  void check(const configuration::Change& change, Callback callback);
  void adoptCommitted(const configuration::Document& document);
  void onCommitted(const registers::RegisterOutcome& outcome,
                   const configuration::ChangeDecision& decision, const std::string& change_id,
                   base::TimePoint begun_at, const Callback& callback);
  void awaitInForce(const ChangeAnswer& answer, base::TimePoint begun_at, Callback callback);
  void report(const ChangeAnswer& answer, base::Duration commit_took, base::Duration wait_took,
              const InForceOutcome& in_force);

  base::Dispatcher& dispatcher_;
  registers::RegisterProposer& proposer_;
  dissemination::ConfigurationReplica& replica_;
  InForceTracker& tracker_;
  base::IncidentSink& incidents_;
  base::Duration acknowledgement_deadline_;
  CoreFaults faults_;
  CommittedListener listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
