#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/records/call_event.h"
#include "switchsaddle/testbed/records/order_event.h"
#include "switchsaddle/testbed/records/worker_event.h"

namespace switchsaddle::testbed {

/** The invariants that a recorded run is checked against. */
enum class Rule : std::uint8_t {
  /** An idempotency key ran more than once. */
  RanTwice,
  /** A key ran although no request that was sent before the run may have caused it. */
  RanAfterNotRun,
  /** A stream or one-shot request that was refused ran under its caller's request id. */
  RanAfterRefusal,
  /** A one-shot request was answered as ran, but no worker ran its key. */
  AnsweredWithoutRun,
  /** The chunk indices of a stream are not 0, 1, 2 and so on. */
  ChunkOrder,
  /** The chunks of a stream come from more than one run. */
  RunChanged,
  /** A stream ended with [DONE] before the last chunk of its run, or the worker did not finish the
   * run. */
  EarlyEnd,
  /** A stream ended without [DONE] and without an error that its caller can see. */
  TruncatedEnd,
  /** A tenant or branch had more concurrent runs than its limit. */
  OverLimit,
  /** A call was refused as over its branch limit while a slot was free. */
  RefusedWithinLimit,
  /** A run started on a worker of an evacuated zone more than EvacuationLimitMs after the
   * evacuation was acknowledged. */
  RanInEvacuatedZone,
  /** A run started for the tenant of a revoked key more than RevocationLimitMs after the revocation
   * was acknowledged. */
  RanForRevokedKey,
  /** A worker received a request more than LeavingLimitMs after it announced that it is leaving or
   * was killed. */
  SentToLeavingWorker,
  /** The ratio of retries to first attempts at the workers is too high. */
  TooManyRetries,
};

/** Longest time from an acknowledged evacuation to a start in the zone, in milliseconds. */
inline constexpr std::int64_t EvacuationLimitMs = 5'000;
/** Longest time from an acknowledged revocation to a start for the key, in milliseconds. */
inline constexpr std::int64_t RevocationLimitMs = 2'000;
/** Longest time from a worker's announcement that it is leaving, or from its kill, to a request
 * sent to it, in milliseconds. */
inline constexpr std::int64_t LeavingLimitMs = 3'000;
/** Length of the sliding window in which retries are counted, in milliseconds. */
inline constexpr std::int64_t RetryWindowMs = 10'000;
/** Highest allowed ratio of retries to first attempts in a window. */
inline constexpr double RetryShare = 0.1;

std::string ruleName(Rule rule);

/** One violation of a rule. */
struct Violation {
  Rule rule = Rule::RanTwice;
  /** The key, call or tenant. */
  std::string subject;
  std::string detail;
};

/** The journal of one worker, in order of writing. */
struct WorkerJournal {
  std::string worker;
  /** Empty if unknown; the rule on evacuated zones then ignores this worker. */
  std::string zone;
  std::vector<WorkerEvent> events;
};

/** Input of the checkers: what callers and operators observed and what workers did. */
struct Evidence {
  std::vector<CallEvent> calls;
  std::vector<WorkerJournal> journals;
  /** Orders of operators and injected faults; may be empty. */
  std::vector<OrderEvent> orders;
  /** Maximum number of concurrent runs by tenant; tenants without an entry have no limit. */
  std::map<std::string, std::uint32_t> limits;
};

/** Quantiles of the time from sending a stream request to its first chunk, in milliseconds. */
struct FirstTokenTimes {
  std::size_t samples = 0;
  std::int64_t p50_ms = 0;
  std::int64_t p95_ms = 0;
};

/** First attempts and retries at the workers, for one kind of request. A retry is each attempt
 * after the first for a caller's request. */
struct RetryFindings {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  /** Highest ratio of retries to first attempts in a window, and the counts of that window. */
  double worst_share = 0;
  std::uint64_t worst_retries = 0;
  std::uint64_t worst_first_attempts = 0;
};

/** Result of checking a recorded run. */
struct HistoryReport {
  std::vector<Violation> violations;
  /** Number of calls by kind, end, code and outcome. */
  std::map<std::string, std::size_t> answers;
  /** Calls without an answer at the end of the record. */
  std::size_t open_calls = 0;
  FirstTokenTimes first_token;
  std::map<std::string, std::uint32_t> peak_by_tenant;
  /** Number of checked orders by event, and the longest time from such an order to a forbidden
   * event, in milliseconds. */
  std::map<std::string, std::size_t> orders;
  std::map<std::string, std::int64_t> latest_start_ms;
  /** By kind of request. */
  std::map<std::string, RetryFindings> retries;
};

HistoryReport checkHistory(const Evidence& evidence);

/** The report as text; the last line counts the violations. */
std::string formatHistoryReport(const HistoryReport& report);

}  // namespace switchsaddle::testbed
