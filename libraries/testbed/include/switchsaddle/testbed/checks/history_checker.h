#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/records/call_event.h"
#include "switchsaddle/testbed/records/order_event.h"
#include "switchsaddle/testbed/records/worker_event.h"

namespace switchsaddle::testbed {

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
  ChunkOrder,
  /** Pieces of a stream come from two runs. */
  RunChanged,
  /** A stream ended with [DONE] before its run's last piece or without the worker's own end. */
  EarlyEnd,
  /** A stream ended with neither [DONE] nor a visible error. */
  TruncatedEnd,
  /** A tenant or branch ran more at once than its limit. */
  OverLimit,
  /** A call was refused as over its branch while a slot was free. */
  RefusedInside,
  /** A run started on a worker of an evacuated zone later than EvacuationLimitMs after the
   * acknowledgement. */
  RanInEvacuatedZone,
  /** A run started for a revoked key's tenant later than RevocationLimitMs after the
   * acknowledgement. */
  RanForRevokedKey,
  /** A worker got a request later than LeavingLimitMs after it was known to be leaving. */
  SentToLeavingWorker,
  /** Retries at the workers are too large a share of the first tries. */
  TooManyRetries,
};

/** From the acknowledgement of an evacuation to the last start in the zone, milliseconds. */
inline constexpr std::int64_t EvacuationLimitMs = 5'000;
/** From the acknowledgement of a revocation to the last start for the key, milliseconds. */
inline constexpr std::int64_t RevocationLimitMs = 2'000;
/** From the moment at which a worker announced its leaving, or was killed, milliseconds. */
inline constexpr std::int64_t LeavingLimitMs = 3'000;
/** Length of the sliding window in which retries are counted, milliseconds. */
inline constexpr std::int64_t RetryWindowMs = 10'000;
/** Greatest share of retries in a window's first tries. */
inline constexpr double RetryShare = 0.1;

std::string ruleName(Rule rule);

/** One finding against a rule. */
struct Violation {
  Rule rule = Rule::RanTwice;
  /** The key, call or tenant. */
  std::string subject;
  std::string detail;
};

/** The journal of one worker, in order of writing. */
struct WorkerJournal {
  std::string worker;
  /** Empty where it isn't known; the rule on evacuated zones then passes over this worker. */
  std::string zone;
  std::vector<WorkerEvent> events;
};

/** What is judged: only what callers and operators saw and what workers did. */
struct Evidence {
  std::vector<CallEvent> calls;
  std::vector<WorkerJournal> journals;
  /** What operators ordered and what was done to workers; may be empty. */
  std::vector<OrderEvent> orders;
  /** Greatest number of runs at once, by tenant; tenants not named are not limited. */
  std::map<std::string, std::uint32_t> limits;
};

/** Quantiles of the time from sending a stream to its first piece, milliseconds. */
struct FirstTokenTimes {
  std::size_t samples = 0;
  std::int64_t p50_ms = 0;
  std::int64_t p95_ms = 0;
};

/** Attempts at the workers of one kind, beyond the first for each caller's request. */
struct RetryFindings {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  /** Greatest share of retries in first tries over a window, and its counts. */
  double worst_share = 0;
  std::uint64_t worst_retries = 0;
  std::uint64_t worst_first_attempts = 0;
};

/** The judgement on a record. */
struct HistoryReport {
  std::vector<Violation> violations;
  /** Calls by kind, end, code and outcome. */
  std::map<std::string, std::size_t> answers;
  /** Calls still open when the record ended. */
  std::size_t open_calls = 0;
  FirstTokenTimes first_token;
  std::map<std::string, std::uint32_t> peak_by_tenant;
  /** Orders that were judged, by event, and the latest start after one of them, milliseconds. */
  std::map<std::string, std::size_t> orders;
  std::map<std::string, std::int64_t> latest_start_ms;
  /** By kind of work. */
  std::map<std::string, RetryFindings> retries;
};

HistoryReport checkHistory(const Evidence& evidence);

/** The judgement as text for people, ending in a line that counts the violations. */
std::string formatHistoryReport(const HistoryReport& report);

}  // namespace switchsaddle::testbed
