#include "switchsaddle/core/configuration/register_change_coordinator.h"

#include <optional>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::ChangeDecision;
using configuration::RecordedChange;
using configuration::RegisterValue;

/** Maximum length of a change's name in the log, enough to tell digests apart. */
constexpr std::size_t LoggedNameCharacters = 48;

ChangeAnswer answerOf(const ChangeDecision& decision) {
  ChangeAnswer answer;
  answer.code = decision.code;
  answer.version = decision.version;
  answer.faults = decision.faults;
  answer.repeated = decision.repeated;
  return answer;
}

/** @return the outcome that the value records for a change, or `otherwise` if it records none. */
ChangeAnswer recordedAnswer(const std::optional<RegisterValue>& value, const std::string& change_id,
                            const ChangeAnswer& otherwise, bool changed) {
  const RecordedChange* recorded = value ? value->findRecorded(change_id) : nullptr;
  if (recorded == nullptr || otherwise.code == ResultCode::ChangeIdReused) {
    return otherwise;
  }
  ChangeAnswer answer;
  answer.code = recorded->code;
  answer.version = recorded->version;
  answer.repeated = !changed;
  return answer;
}

ChangeAnswer rejection(ResultCode code) {
  ChangeAnswer answer;
  answer.code = code;
  return answer;
}

ChangeDecision expired(const RegisterValue& present) {
  ChangeDecision decision;
  decision.code = ResultCode::OrderExpired;
  decision.version = present.document.version;
  return decision;
}

/** @return the decoded value; std::nullopt if it is corrupt. */
std::optional<RegisterValue> decode(const std::string& bytes) {
  try {
    return configuration::decodeRegisterValue(bytes);
  } catch (const base::Error&) {
    return std::nullopt;
  }
}

}  // namespace

RegisterChangeCoordinator::RegisterChangeCoordinator(
    base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
    dissemination::ConfigurationReplica& replica, InForceTracker& tracker,
    base::IncidentSink& incidents, base::Duration acknowledgement_deadline, CoreFaults faults)
    : dispatcher_(dispatcher),
      proposer_(proposer),
      replica_(replica),
      tracker_(tracker),
      incidents_(incidents),
      acknowledgement_deadline_(acknowledgement_deadline),
      faults_(faults) {}

void RegisterChangeCoordinator::submit(const configuration::Change& change, bool dry_run,
                                       const Caller& caller, Callback callback) {
  if (dry_run) {
    check(change, std::move(callback));
    return;
  }
  Decide decide = [change](const RegisterValue& present) {
    return configuration::decideChange(present, change);
  };
  if (change.base_version == configuration::AnyBaseVersion) {
    decide = whileCallerWaits(std::move(decide), caller);
  }
  commit(std::move(decide), submissionOf(change.change_id), std::move(callback));
}

void RegisterChangeCoordinator::submitSource(const configuration::SourceUpdate& update,
                                             Callback callback) {
  const auto decide = [update](const RegisterValue& present) {
    return configuration::decideSourceUpdate(present, update);
  };
  commit(decide, submissionOf(update.change_id), std::move(callback));
}

void RegisterChangeCoordinator::submitOrder(Decide decide, const std::string& change_id,
                                            const Caller& caller, Callback callback) {
  commit(whileCallerWaits(std::move(decide), caller), submissionOf(change_id), std::move(callback));
}

void RegisterChangeCoordinator::submitEvacuation(const std::string& zone, bool evacuated,
                                                 const Caller& caller, Callback callback) {
  const auto decide = [zone, evacuated](const RegisterValue& present) {
    return configuration::decideEvacuation(present, zone, evacuated);
  };
  Submission submission = submissionOf({});
  submission.name = (evacuated ? "evacuate/" : "restore/") + zone;
  commit(whileCallerWaits(decide, caller), submission, std::move(callback));
}

ChangeCoordinator::Decide RegisterChangeCoordinator::whileCallerWaits(Decide decide,
                                                                      const Caller& caller) const {
  return [this, decide = std::move(decide), caller](const RegisterValue& present) {
    ChangeDecision decision = decide(present);
    return decision.writes && !isAwaited(caller) ? expired(present) : std::move(decision);
  };
}

bool RegisterChangeCoordinator::isAwaited(const Caller& caller) const {
  if (faults_.carry_out_expired_orders) {
    return true;
  }
  const bool has_left = caller.connection != nullptr && caller.connection->hasLeft();
  return !has_left && dispatcher_.now() <= caller.arrived_at + acknowledgement_deadline_;
}

void RegisterChangeCoordinator::check(const configuration::Change& change, Callback callback) {
  proposer_.read(registers::ConfigurationRegister, [change, callback = std::move(callback)](
                                                       const registers::RegisterOutcome& outcome) {
    if (outcome.code != ResultCode::Ok) {
      callback(rejection(outcome.code));
      return;
    }
    const std::optional<RegisterValue> present = decode(outcome.value);
    callback(present ? answerOf(configuration::decideChange(*present, change))
                     : rejection(ResultCode::RecordCorrupt));
  });
}

RegisterChangeCoordinator::Submission RegisterChangeCoordinator::submissionOf(
    const std::string& change_id) const {
  return {change_id, change_id.substr(0, LoggedNameCharacters), dispatcher_.now()};
}

void RegisterChangeCoordinator::commit(Decide decide, const Submission& submission,
                                       Callback callback) {
  // Used only for changes that were not written. The result of the function's last run may differ
  // from the committed one, since an earlier proposal may turn out to have been chosen.
  auto decision = std::make_shared<ChangeDecision>();
  auto function = [decide = std::move(decide), decision,
                   faults = faults_](const std::string& bytes) -> std::optional<std::string> {
    const std::optional<RegisterValue> present = decode(bytes);
    if (!present) {
      *decision = {};
      decision->code = ResultCode::RecordCorrupt;
      return std::nullopt;
    }
    *decision = decide(*present);
    if (!decision->writes) {
      return std::nullopt;
    }
    if (faults.forget_change_ids) {
      decision->next.recorded.clear();
    }
    return configuration::encodeRegisterValue(decision->next);
  };
  proposer_.change(registers::ConfigurationRegister, std::move(function),
                   callbacks_.guard([this, decision, submission, callback = std::move(callback)](
                                        const registers::RegisterOutcome& outcome) {
                     onCommitted(outcome, *decision, submission, callback);
                   }));
}

void RegisterChangeCoordinator::applyCommitted(const configuration::Document& document) {
  if (document.version <= replica_.version()) {
    return;
  }
  const wire::ConfigurationDelta delta = document.deltaSince(replica_.version());
  if (listener_) {
    listener_(delta);
  }
  tracker_.pushCommitted(delta);
  replica_.apply(delta);
}

void RegisterChangeCoordinator::onCommitted(const registers::RegisterOutcome& outcome,
                                            const ChangeDecision& decision,
                                            const Submission& submission,
                                            const Callback& callback) {
  const base::Duration commit_duration = dispatcher_.now() - submission.begun_at;
  if (outcome.code != ResultCode::Ok) {
    report(rejection(outcome.code), submission, commit_duration, {}, {});
    callback(rejection(outcome.code));
    return;
  }
  const std::optional<RegisterValue> value = decode(outcome.value);
  if (value) {
    applyCommitted(value->document);
  }
  const ChangeAnswer answer =
      recordedAnswer(value, submission.change_id, answerOf(decision), outcome.changed);
  if (answer.code != ResultCode::Ok || faults_.acknowledge_without_waiting) {
    report(answer, submission, commit_duration, {}, {});
    callback(answer);
    return;
  }
  awaitInForce(answer, submission, callback);
}

void RegisterChangeCoordinator::awaitInForce(const ChangeAnswer& answer,
                                             const Submission& submission, Callback callback) {
  const base::TimePoint committed_at = dispatcher_.now();
  tracker_.wait(answer.version, submission.begun_at + acknowledgement_deadline_,
                [this, answer, submission, committed_at,
                 callback = std::move(callback)](const InForceOutcome& in_force) {
                  ChangeAnswer final_answer = answer;
                  if (!in_force.in_force) {
                    final_answer.code = ResultCode::CommittedNotYetInForce;
                  }
                  report(final_answer, submission, committed_at - submission.begun_at,
                         dispatcher_.now() - committed_at, in_force);
                  callback(final_answer);
                });
}

void RegisterChangeCoordinator::report(const ChangeAnswer& answer, const Submission& submission,
                                       base::Duration commit_duration, base::Duration wait_duration,
                                       const InForceOutcome& in_force) {
  const bool is_pending =
      answer.code == ResultCode::CommittedNotYetInForce || answer.code == ResultCode::NoQuorum;
  const bool is_lagging = in_force.lagging > 0;
  base::Incident incident;
  incident.event = "change-ended";
  incident.severity = is_pending ? base::Severity::Warning : base::Severity::Notice;
  incident.code = answer.code;
  incident.fields = {{"change", submission.name},
                     {"version", std::to_string(answer.version)},
                     {"repeated", answer.repeated ? "yes" : ""},
                     {"commit_ms", std::to_string(base::toMilliseconds(commit_duration))},
                     {"wait_ms", std::to_string(base::toMilliseconds(wait_duration))},
                     {"readings", std::to_string(in_force.readings)},
                     {"behind", std::to_string(in_force.lagging)},
                     {"first_behind", is_lagging ? in_force.first_lagging.toString() : ""}};
  incidents_.report(incident);
}

}  // namespace switchsaddle::core
