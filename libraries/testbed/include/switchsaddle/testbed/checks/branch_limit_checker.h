#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/** The branch of each tenant and kind of request, and the number of slots of each branch. */
struct BranchLimits {
  /** By tenant and kind ("stream" or "one-shot"). */
  std::map<std::pair<std::string, std::string>, std::string> branches;
  std::map<std::string, std::uint32_t> slots;

  static BranchLimits fromView(const configuration::View& view);
};

/** Tolerances for the different times at which journals and fronts record the same event.
 */
struct BranchTolerances {
  /**
   * Longest time, in milliseconds, for which a branch may have more runs than slots. A worker
   * detects a closed connection when it sends the next chunk, and records the end of a run after
   * the caller has read it.
   */
  std::int64_t excess_ms = 100;
  /**
   * A run occupies its slot from this many milliseconds before its worker started or queued it
   * until this many milliseconds after its end.
   */
  std::int64_t occupancy_ms = 50;
  /** Length of the sliding window for the share of retries, in milliseconds. */
  std::int64_t retry_window_ms = RetryWindowMs;
  double retry_share = RetryShare;
};

/** Peak, excesses and refusals of one branch. */
struct BranchFindings {
  std::uint32_t slots = 0;
  std::uint32_t peak = 0;
  /** Number of periods with more runs than slots, and the length of the longest. */
  std::uint32_t excesses = 0;
  std::int64_t longest_excess_ms = 0;
  /** Calls refused as over the branch limit, and those during which a slot was always free. */
  std::uint32_t refused = 0;
  std::uint32_t refused_within_limit = 0;
};

/** Time from a request to its answer in milliseconds, for one result code. */
struct AnswerTimes {
  std::size_t samples = 0;
  std::int64_t p50_ms = 0;
  std::int64_t p95_ms = 0;
  std::int64_t longest_ms = 0;
};

/** One tenant's calls of one kind in one period of the record. */
struct TenantService {
  std::size_t calls = 0;
  std::size_t served = 0;
  AnswerTimes first_token;
};

/** Result of checking a recorded run against branch limits and the retry limit. */
struct BranchLimitReport {
  std::vector<Violation> violations;
  std::map<std::string, BranchFindings> branches;
  /** By kind of request. */
  std::map<std::string, RetryFindings> retries;
  /** Refusals by result code. */
  std::map<int, AnswerTimes> refusals;
  /** By period ("1 before", "2 during" or "3 after" the burst), then by tenant and kind. */
  std::map<std::string, std::map<std::string, TenantService>> service;
};

/** Period of a load burst, in seconds since the first call of the record. By default the whole
 * record is before the burst. */
struct BurstPeriod {
  std::int64_t from_s = INT64_MAX / 1'000;
  std::int64_t to_s = INT64_MAX / 1'000;
};

BranchLimitReport checkBranchLimits(const Evidence& evidence, const BranchLimits& limits,
                                    const BranchTolerances& tolerances, const BurstPeriod& burst);

/** The report as text; the last line counts the violations. */
std::string formatBranchLimitReport(const BranchLimitReport& report);

}  // namespace switchsaddle::testbed
