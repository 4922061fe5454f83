#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/laboratory/call_event.h"
#include "switchsaddle/laboratory/worker_event.h"

namespace switchsaddle::laboratory {

/** What must never be seen. */
enum class Rule : std::uint8_t {
  /** A key ran more than once. */
  RanTwice,
  /** A key was answered not-run, and ran for no other request that may have run. */
  RanAfterNotRun,
  /** A refused stream or one-shot ran under its caller's request id. */
  RanAfterRefusal,
  /** A one-shot was answered as ran, and no worker ran its key. */
  AnsweredWithoutRun,
  /** Pieces of a stream lack an index, repeat one, or start above 0. */
  PieceOrder,
  /** Pieces of a stream come from two runs. */
  RunChanged,
  /** A stream ended with [DONE] before its run's last piece or without the worker's own end. */
  EarlyEnd,
  /** A stream ended with neither [DONE] nor a visible error. */
  SilentEnd,
  /** A tenant or branch ran more at once than its limit. */
  OverLimit,
  /** A call was refused as over its branch while a slot was free. */
  RefusedInside,
  /** Retries at the workers are too large a share of the first tries. */
  TooManyRetries,
};

std::string ruleName(Rule rule);

/** One finding against a rule. */
struct Violation {
  Rule rule = Rule::RanTwice;
  /** The key, call or tenant. */
  std::string subject;
  std::string detail;
};

/** The journals of one worker, in order of writing. */
using WorkerJournal = std::vector<WorkerEvent>;

/** What is judged: only what callers saw and what workers did. */
struct Evidence {
  std::vector<CallEvent> calls;
  std::vector<WorkerJournal> journals;
  /** Greatest number of runs at once, by tenant; tenants not named are not limited. */
  std::map<std::string, std::uint32_t> limits;
};

/** Quantiles of the time from sending a stream to its first piece, milliseconds. */
struct FirstTokenTimes {
  std::size_t samples = 0;
  std::int64_t p50_ms = 0;
  std::int64_t p95_ms = 0;
};

/** The judgement on a record. */
struct Judgement {
  std::vector<Violation> violations;
  /** Calls by kind, end, code and outcome. */
  std::map<std::string, std::size_t> answers;
  /** Calls still open when the record ended. */
  std::size_t open_calls = 0;
  FirstTokenTimes first_token;
  std::map<std::string, std::uint32_t> peak_by_tenant;
};

Judgement judge(const Evidence& evidence);

/** The judgement as text for people, ending in a line that counts the violations. */
std::string formatJudgement(const Judgement& judgement);

}  // namespace switchsaddle::laboratory
