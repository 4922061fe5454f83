#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** One run of a request at a worker, as the worker saw it. */
struct WorkerRun {
  /** The client's id of the attempt. */
  std::string request_id;
  /** The work that must run once; all attempts for it share it. */
  std::string work;
  std::string worker;
  /** Seconds since the ledger was created, set by RunLedger::add(). */
  double at_s = 0;
};

/** How an attempt ended for its client. */
enum class AttemptEnd : std::uint8_t {
  Answered,
  /** The connection was refused or could not be established. */
  NotConnected,
  /** The connection was reset before any byte of an answer. */
  Reset,
  /** The connection ended without a complete answer. */
  Unanswered,
  TimedOut,
  Malformed,
};

/** One attempt of a client. */
struct ClientAttempt {
  std::string request_id;
  std::string work;
  std::string front;
  AttemptEnd end = AttemptEnd::NotConnected;
  /** Status of the answer; 0 if there is none. */
  int status = 0;
  /** The answer names another request, or its body is not the one of this work. */
  bool foreign_answer = false;
  /** Its end in seconds since the ledger was created, set by RunLedger::add(). */
  double at_s = 0;
  /** Time from the request to the end. */
  base::Duration lasted{};
  /** The deadline that the client sent; no answer is owed after it. */
  base::Duration deadline = base::Duration::max();
};

/** A configuration change that was acknowledged. */
struct AcknowledgedChange {
  std::string change;
  std::uint64_t version = 0;
};

/** A promise of the fleet that was broken. */
enum class SoakViolationKind : std::uint8_t {
  AttemptRanTwice,
  WorkRanTwice,
  /** Answered with a status that promises no run, and run. */
  RanDespitePromise,
  ForeignAnswer,
  /** Run, and its connection ended without an answer before the client's deadline, though no
   * process was killed. */
  RanWithoutAnswer,
  VersionAcknowledgedTwice,
};

struct SoakViolation {
  SoakViolationKind kind;
  /** What was seen: the work, its attempts and its runs. */
  std::string text;
};

std::string violationName(SoakViolationKind kind);
std::string attemptEndName(AttemptEnd end);

/** @return whether the status promises that a request has not run and never will. */
bool promisesNoRun(int status);

/**
 * What clients, workers and operators of a soak saw, and the judgement of it. Thread-safe.
 *
 * Invariant: judges only what was seen outside the fleet.
 */
class RunLedger {
 public:
  /** @param expects_answers whether a run without an answer is a violation: no process is killed
   * and all workers are sound. */
  explicit RunLedger(bool expects_answers) : expects_answers_(expects_answers) {}

  void add(WorkerRun run);
  void add(ClientAttempt attempt);
  void add(AcknowledgedChange change);

  /** Seconds since the ledger was created. */
  double elapsedSeconds() const;
  std::vector<SoakViolation> violations() const;
  /** One line: works, attempts by their end, runs and acknowledged changes. */
  std::string summary() const;

 private:
  struct Work {
    std::vector<ClientAttempt> attempts;
    std::vector<WorkerRun> runs;
  };

  void judgeAttempt(const Work& work, const ClientAttempt& attempt,
                    std::vector<SoakViolation>& found) const;
  static std::string describe(const Work& work);

  std::chrono::steady_clock::time_point created_at_ = std::chrono::steady_clock::now();
  mutable std::mutex mutex_;
  bool expects_answers_;
  std::map<std::string, Work> works_;
  std::map<std::uint64_t, std::vector<std::string>> changes_by_version_;
};

}  // namespace switchsaddle::testbed
