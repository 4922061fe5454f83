#include "switchsaddle/exploration/explorer.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::exploration {

namespace {

/** A schedule whose run is known, and from which longer schedules are made. */
struct ExploredSchedule {
  Schedule schedule;
  std::uint64_t messages;
};

bool losesDisk(const Deviation& deviation) {
  return deviation.kind == DeviationKind::WipeSender ||
         deviation.kind == DeviationKind::WipeReceiver;
}

/** The state of one exploration. */
class Exploration {
 public:
  Exploration(const Scenario& scenario, const ExplorationOptions& options)
      : scenario_(scenario), options_(options) {}

  ExplorationReport run() {
    std::vector<ExploredSchedule> level;
    runSchedule({}, level);
    for (std::size_t count = 1; count <= options_.deviations && !finished(); ++count) {
      std::vector<ExploredSchedule> next;
      for (const ExploredSchedule& parent : level) {
        extend(parent, next);
      }
      level = std::move(next);
    }
    report_.states = states_.size();
    return std::move(report_);
  }

 private:
  bool finished() const { return report_.violations.size() >= options_.maximum_violations; }

  /** Runs every schedule with one deviation more, after the parent's last one. */
  void extend(const ExploredSchedule& parent, std::vector<ExploredSchedule>& next) {
    const bool is_first = parent.schedule.empty();
    const std::uint64_t begin = is_first ? 0 : parent.schedule.back().message + 1;
    std::uint64_t number = 0;
    for (std::uint64_t message = begin; message < parent.messages && !finished(); ++message) {
      for (const DeviationKind kind : options_.kinds) {
        const bool in_shard = !is_first || number++ % options_.shards == options_.shard;
        if (in_shard && !finished()) {
          Schedule schedule = parent.schedule;
          schedule.push_back({message, kind});
          runIfAllowed(std::move(schedule), next);
        }
      }
    }
  }

  void runIfAllowed(Schedule schedule, std::vector<ExploredSchedule>& next) {
    const auto lost_disks = std::ranges::count_if(schedule, losesDisk);
    if (static_cast<std::size_t>(lost_disks) <= options_.lost_disks) {
      runSchedule(std::move(schedule), next);
    }
  }

  void runSchedule(Schedule schedule, std::vector<ExploredSchedule>& next) {
    const RunReport run = scenario_.run(schedule, false);
    ++report_.runs;
    report_.depth = std::max(report_.depth, run.messages);
    states_.insert(run.states.begin(), run.states.end());
    if (!run.violation.empty()) {
      report_.violations.push_back({std::move(schedule), run.violation});
    } else if (runs_.insert(run.fingerprint).second) {
      next.push_back({std::move(schedule), run.messages});
    } else {
      ++report_.equal_runs;
    }
  }

  const Scenario& scenario_;
  const ExplorationOptions& options_;
  ExplorationReport report_;
  std::unordered_set<std::uint64_t> runs_;
  std::unordered_set<std::uint64_t> states_;
};

}  // namespace

ExplorationReport explore(const Scenario& scenario, const ExplorationOptions& options) {
  if (options.shards == 0 || options.shard >= options.shards) {
    throw base::Error(base::ResultCode::InvalidValue, "shard " + std::to_string(options.shard) +
                                                          " of " + std::to_string(options.shards) +
                                                          " does not exist");
  }
  return Exploration(scenario, options).run();
}

Schedule minimized(const Scenario& scenario, Schedule schedule) {
  for (std::size_t index = 0; index < schedule.size();) {
    Schedule shorter = schedule;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(index));
    if (scenario.run(shorter, false).violation.empty()) {
      ++index;
    } else {
      schedule = std::move(shorter);
    }
  }
  return schedule;
}

}  // namespace switchsaddle::exploration
