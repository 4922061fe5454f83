#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/** Which branch each tenant's kind of work counts against, and the slots of each branch. */
struct BranchLimits {
  /** By tenant and kind ("stream" or "one-shot"). */
  std::map<std::pair<std::string, std::string>, std::string> branches;
  std::map<std::string, std::uint32_t> slots;

  static BranchLimits fromView(const configuration::View& view);
};

/** What the judge of branches allows for, since clocks of journals and fronts do not meet. */
struct BranchTolerances {
  /**
   * Longest time for which more runs than slots may be seen: a worker notices a closed connection
   * with its next piece, and notes an end after its caller has read it.
   */
  std::int64_t excess_ms = 100;
  /**
   * A run occupies its slot from this long before its worker started or queued it until this long
   * after its end.
   */
  std::int64_t occupancy_ms = 50;
  /** Window of the retry share. */
  std::int64_t retry_window_ms = RetryWindowMs;
  double retry_share = RetryShare;
};

/** What was seen of one branch. */
struct BranchFindings {
  std::uint32_t slots = 0;
  std::uint32_t peak = 0;
  /** Times with more runs than slots, and the longest of them. */
  std::uint32_t excesses = 0;
  std::int64_t longest_excess_ms = 0;
  /** Calls refused as over the branch, and those of them with a slot free throughout. */
  std::uint32_t refused = 0;
  std::uint32_t refused_inside = 0;
};

/** How long callers waited for an answer with one result code, milliseconds. */
struct AnswerTimes {
  std::size_t samples = 0;
  std::int64_t p50_ms = 0;
  std::int64_t p95_ms = 0;
  std::int64_t longest_ms = 0;
};

/** One tenant's calls of one kind within a part of the record. */
struct TenantService {
  std::size_t calls = 0;
  std::size_t served = 0;
  AnswerTimes first_token;
};

/** The judgement on limits, retries and bursts. */
struct BranchLimitReport {
  std::vector<Violation> violations;
  std::map<std::string, BranchFindings> branches;
  /** By kind of work. */
  std::map<std::string, RetryFindings> retries;
  /** Refusals by result code. */
  std::map<int, AnswerTimes> refusals;
  /** By part of the record ("before", "during", "after"), tenant and kind. */
  std::map<std::string, std::map<std::string, TenantService>> service;
};

/** A burst's time, seconds since the record's first call; the whole record is "before" without. */
struct BurstPeriod {
  std::int64_t from_s = INT64_MAX / 1'000;
  std::int64_t to_s = INT64_MAX / 1'000;
};

BranchLimitReport checkBranchLimits(const Evidence& evidence, const BranchLimits& limits,
                                    const BranchTolerances& tolerances, const BurstPeriod& burst);

/** The judgement as text for people, ending in a line that counts the violations. */
std::string formatBranchLimitReport(const BranchLimitReport& report);

}  // namespace switchsaddle::testbed
