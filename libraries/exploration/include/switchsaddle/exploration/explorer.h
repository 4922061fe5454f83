#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/exploration/deviation.h"

namespace switchsaddle::exploration {

/** What one run showed. */
struct RunReport {
  /** The invariant that was violated, with details; empty if none was. */
  std::string violation;
  /** Number of messages at which the run could have deviated. */
  std::uint64_t messages = 0;
  /** Equal for runs that sent the same messages in the same order. */
  std::uint64_t fingerprint = 0;
  /** The fingerprint after each message. */
  std::vector<std::uint64_t> states;
  /** One line of text for each message, if the trace was requested. */
  std::vector<std::string> trace;
};

/** A deterministic scenario: the same schedule gives the same run. */
class Scenario {
 public:
  virtual ~Scenario() = default;
  virtual std::string name() const = 0;
  virtual RunReport run(const Schedule& schedule, bool keep_trace) const = 0;
};

/** Bounds of an exploration. */
struct ExplorationOptions {
  /** Maximum number of deviations in a schedule. */
  std::size_t deviations = 1;
  std::vector<DeviationKind> kinds = allDeviationKinds();
  /** Maximum number of disks that one run loses. */
  std::size_t lost_disks = 1;
  /** Explores only those first deviations whose number modulo `shards` is `shard`. */
  std::uint64_t shard = 0;
  std::uint64_t shards = 1;
  /** Stops after this many violations. */
  std::size_t maximum_violations = 1;
};

/** A schedule under which an invariant is violated. */
struct FoundViolation {
  Schedule schedule;
  std::string text;
};

/** What an exploration covered and found. */
struct ExplorationReport {
  std::uint64_t runs = 0;
  /** Runs that equalled an earlier one, so that their continuations were not explored. */
  std::uint64_t equal_runs = 0;
  /** Distinct fingerprints over all messages of all runs. */
  std::size_t states = 0;
  /** Messages of the longest run. */
  std::uint64_t depth = 0;
  std::vector<FoundViolation> violations;
};

/**
 * Runs a scenario under every schedule with at most the given number of deviations: each kind at
 * each message of the run so far. Runs that send the same messages as an earlier one are not
 * continued, since every continuation equals one that is explored already.
 */
ExplorationReport explore(const Scenario& scenario, const ExplorationOptions& options);

/** @return the schedule without the deviations that the violation does not need. */
Schedule minimized(const Scenario& scenario, Schedule schedule);

}  // namespace switchsaddle::exploration
