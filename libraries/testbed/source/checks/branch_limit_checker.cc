#include "switchsaddle/testbed/checks/branch_limit_checker.h"

#include <algorithm>
#include <optional>
#include <set>

#include "checks/call_history.h"
#include "checks/retry_rules.h"
#include "switchsaddle/base/result_code.h"

namespace switchsaddle::testbed {
namespace {

constexpr const char* OneShot = "one-shot";
constexpr const char* Stream = "stream";
constexpr std::int64_t MillisecondsPerSecond = 1'000;

AnswerTimes quantiles(std::vector<std::int64_t> times) {
  AnswerTimes result;
  result.samples = times.size();
  if (!times.empty()) {
    std::ranges::sort(times);
    result.p50_ms = times[(times.size() - 1) * 50 / 100];
    result.p95_ms = times[(times.size() - 1) * 95 / 100];
    result.longest_ms = times.back();
  }
  return result;
}

/** The number of concurrent runs over time, as a step function. */
class Occupancy {
 public:
  void add(std::int64_t from_ms, std::int64_t to_ms) {
    changes_.insert({from_ms, 1});
    changes_.insert({to_ms, -1});
  }
  void finish() {
    std::int64_t running = 0;
    for (const auto& [at_ms, change] : changes_) {
      running += change;
      steps_[at_ms] = running;
    }
  }
  std::int64_t highestWithin(std::int64_t from_ms, std::int64_t to_ms) const {
    auto step = steps_.upper_bound(from_ms);
    std::int64_t highest = step == steps_.begin() ? 0 : std::prev(step)->second;
    for (; step != steps_.end() && step->first <= to_ms; ++step) {
      highest = std::max(highest, step->second);
    }
    return highest;
  }
  const std::map<std::int64_t, std::int64_t>& steps() const { return steps_; }

 private:
  /** At equal times, ends sort before starts. */
  std::multiset<std::pair<std::int64_t, int>> changes_;
  std::map<std::int64_t, std::int64_t> steps_;
};

class BranchLimitChecker {
 public:
  BranchLimitChecker(const Evidence& evidence, const BranchLimits& limits,
                     const BranchTolerances& tolerances)
      : evidence_(evidence),
        limits_(limits),
        tolerances_(tolerances),
        calls_(foldCalls(evidence.calls)) {
    for (const WorkerJournal& journal : evidence.journals) {
      foldRuns(journal, runs_);
      for (const WorkerEvent& event : journal.events) {
        if (event.event == worker_event::Queued) {
          queued_ms_[event.request_id] = event.at_ms;
        } else if (event.event == worker_event::Refused) {
          refused_.push_back(event);
        }
      }
    }
  }

  BranchLimitReport result(const BurstPeriod& burst) {
    checkExcesses();
    checkRefusals();
    report_.retries = checkRetries(evidence_, tolerances_.retry_window_ms, tolerances_.retry_share,
                                   report_.violations);
    measureService(burst);
    return std::move(report_);
  }

 private:
  const std::string* branchOf(const std::string& tenant, const std::string& kind) const {
    const auto found = limits_.branches.find({tenant, kind});
    return found == limits_.branches.end() ? nullptr : &found->second;
  }

  /** Occupancy by branch. With a margin above 0, a run counts from the time it was queued, is
   * extended by the margin at both ends, and refused attempts count as well. */
  std::map<std::string, Occupancy> occupancies(std::int64_t margin_ms) const {
    std::map<std::string, Occupancy> result;
    for (const auto& [id, run] : runs_) {
      const std::string* branch = branchOf(run.start.tenant, run.start.kind);
      if (branch == nullptr) {
        continue;
      }
      const auto queued = queued_ms_.find(run.start.request_id);
      const bool waited = margin_ms > 0 && queued != queued_ms_.end();
      const std::int64_t from_ms = waited ? queued->second : run.start.at_ms;
      result[*branch].add(from_ms - margin_ms, run.end_ms + margin_ms);
    }
    for (const WorkerEvent& event : refused_) {
      const std::string* branch = branchOf(event.tenant, event.kind);
      if (branch != nullptr && margin_ms > 0) {
        result[*branch].add(event.at_ms - margin_ms, event.at_ms + margin_ms);
      }
    }
    for (auto& [branch, occupancy] : result) {
      occupancy.finish();
    }
    return result;
  }

  void checkExcesses() {
    for (const auto& [branch, occupancy] : occupancies(0)) {
      BranchFindings& findings = report_.branches[branch];
      findings.slots = limits_.slots.at(branch);
      std::optional<std::int64_t> over_since;
      for (const auto& [at_ms, running] : occupancy.steps()) {
        findings.peak = std::max(findings.peak, static_cast<std::uint32_t>(running));
        const bool over = running > static_cast<std::int64_t>(findings.slots);
        if (over && !over_since) {
          over_since = at_ms;
          ++findings.excesses;
        } else if (!over && over_since) {
          findings.longest_excess_ms = std::max(findings.longest_excess_ms, at_ms - *over_since);
          over_since.reset();
        }
      }
      if (findings.longest_excess_ms > tolerances_.excess_ms) {
        report_.violations.push_back({Rule::OverLimit, branch,
                                      std::to_string(findings.peak) + " concurrent runs, limit " +
                                          std::to_string(findings.slots) + ", for " +
                                          std::to_string(findings.longest_excess_ms) + " ms"});
      }
    }
  }

  void checkRefusals() {
    const std::map<std::string, Occupancy> occupied = occupancies(tolerances_.occupancy_ms);
    std::map<int, std::vector<std::int64_t>> times;
    for (const auto& [number, call] : calls_) {
      if (!call.answered || call.answer.code == 0 || !call.chunks.empty()) {
        continue;
      }
      times[call.answer.code].push_back(call.answer.at_ms - call.sent.at_ms);
      const std::string* branch = branchOf(call.sent.tenant, call.sent.kind);
      const bool over = call.answer.code == static_cast<int>(base::ResultCode::OverBranchLimit);
      if (over && branch != nullptr) {
        const auto found = occupied.find(*branch);
        checkRefusal(call, *branch, found == occupied.end() ? Occupancy{} : found->second);
      }
    }
    for (auto& [code, of_code] : times) {
      report_.refusals[code] = quantiles(std::move(of_code));
    }
  }

  void checkRefusal(const CallHistory& call, const std::string& branch,
                    const Occupancy& occupancy) {
    BranchFindings& findings = report_.branches[branch];
    findings.slots = limits_.slots.at(branch);
    ++findings.refused;
    const std::int64_t highest = occupancy.highestWithin(call.sent.at_ms, call.answer.at_ms);
    if (highest < static_cast<std::int64_t>(findings.slots)) {
      ++findings.refused_within_limit;
      report_.violations.push_back({Rule::RefusedWithinLimit, branch,
                                    "call " + std::to_string(call.sent.call) + ": at most " +
                                        std::to_string(highest) + " of " +
                                        std::to_string(findings.slots) + " slots were occupied"});
    }
  }

  void measureService(const BurstPeriod& burst) {
    std::map<std::string, std::map<std::string, std::vector<std::int64_t>>> first_tokens;
    const std::int64_t begin_ms = calls_.empty() ? 0 : calls_.begin()->second.sent.at_ms;
    for (const auto& [number, call] : calls_) {
      const std::int64_t second = (call.sent.at_ms - begin_ms) / MillisecondsPerSecond;
      const char* period = second < burst.from_s ? "1 before" : "2 during";
      period = second >= burst.to_s ? "3 after" : period;
      const std::string name = call.sent.tenant + " " + call.sent.kind;
      TenantService& service = report_.service[period][name];
      ++service.calls;
      const bool served = call.answered && call.answer.end == call_end::Done &&
                          (call.sent.kind == Stream || call.answer.outcome == "ran");
      service.served += served ? 1 : 0;
      if (!call.chunks.empty()) {
        first_tokens[period][name].push_back(call.chunks.front().at_ms - call.sent.at_ms);
      }
    }
    for (auto& [period, by_name] : first_tokens) {
      for (auto& [name, times] : by_name) {
        report_.service[period][name].first_token = quantiles(std::move(times));
      }
    }
  }

  const Evidence& evidence_;
  const BranchLimits& limits_;
  const BranchTolerances& tolerances_;
  std::map<std::uint64_t, CallHistory> calls_;
  std::map<std::string, RunHistory> runs_;
  /** Attempts that a worker refused; each occupied a slot of its branch while in flight. */
  std::vector<WorkerEvent> refused_;
  /** By the id of the request to the worker. */
  std::map<std::string, std::int64_t> queued_ms_;
  BranchLimitReport report_;
};

}  // namespace

BranchLimits BranchLimits::fromView(const configuration::View& view) {
  BranchLimits limits;
  for (const auto& [name, tenant] : view.tenants) {
    for (const auto& [kind, branch] :
         {std::pair{Stream, tenant.stream_branch}, std::pair{OneShot, tenant.one_shot_branch}}) {
      limits.branches[{name, kind}] = branch;
      limits.slots[branch] = view.branches.at(branch).slots;
    }
  }
  return limits;
}

BranchLimitReport checkBranchLimits(const Evidence& evidence, const BranchLimits& limits,
                                    const BranchTolerances& tolerances, const BurstPeriod& burst) {
  return BranchLimitChecker(evidence, limits, tolerances).result(burst);
}

}  // namespace switchsaddle::testbed
