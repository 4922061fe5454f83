#include "switchsaddle/scenarios/disk_faults.h"

#include <array>
#include <string>
#include <utility>

namespace switchsaddle::scenarios {

namespace {

using simulation::DiskOperation;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array FailingOperations{DiskOperation::Write, DiskOperation::SyncFile,
                                       DiskOperation::Rename, DiskOperation::SyncFolder,
                                       DiskOperation::Remove};
constexpr std::uint64_t FailuresOfEachKind = 5;
constexpr std::uint64_t PowerLosses = 12;
constexpr std::uint64_t PowerLossOfAllInterval = 3;
constexpr std::size_t MaxImpairedCores = 2;
constexpr base::Duration StallTime = seconds(20);
/** Below the time limit of a commit, so that slow disks do not count as failed. */
constexpr base::Duration SlowTime = milliseconds(400);
constexpr base::Duration FullTime = seconds(3);
/** Time within which an active core should reach the disk operation at which power is lost. */
constexpr base::Duration PowerLossWait = milliseconds(700);

}  // namespace

DiskFaults::DiskFaults(Fleet& fleet, ScheduleFunction schedule)
    : fleet_(fleet), schedule_(std::move(schedule)) {
  addFailures();
  addPowerLosses();
  addImpairments();
  addStateLosses();
  next_ = fleet_.world.random().below(entries_.size());
}

void DiskFaults::addFailures() {
  for (const DiskOperation kind : FailingOperations) {
    for (std::uint64_t nth = 1; nth <= FailuresOfEachKind; ++nth) {
      entries_.push_back({[kind, nth](SimulatedCore& core) { core.disk().failOnce(kind, nth); }});
    }
  }
}

void DiskFaults::addPowerLosses() {
  for (std::uint64_t nth = 1; nth <= PowerLosses; ++nth) {
    entries_.push_back({[this, nth](SimulatedCore& core) { powerLossAt(core, nth); }});
    if (nth % PowerLossOfAllInterval == 0) {
      entries_.push_back({[this](SimulatedCore&) { powerLossOfAllCores(); }});
    }
  }
}

void DiskFaults::powerLossOfAllCores() {
  for (const auto& core : fleet_.cores) {
    core->stallDisk(SlowTime);
  }
  schedule_(SlowTime * 3 / 4, [this] {
    for (const auto& core : fleet_.cores) {
      if (core->running()) {
        core->kill(CrashKind::PowerLoss);
      }
      restartSoon(*core);
    }
  });
}

void DiskFaults::addImpairments() {
  const Step stall = [this](SimulatedCore& core) {
    impaired_until_[&core] = fleet_.world.now() + StallTime;
    core.stallDisk(StallTime);
  };
  const Step fill = [this](SimulatedCore& core) {
    impaired_until_[&core] = fleet_.world.now() + FullTime;
    core.disk().setFull(true);
    schedule_(FullTime, [&core] { core.disk().setFull(false); });
  };
  for (const Step& step : {stall, stall, fill, fill}) {
    entries_.push_back({step, true, false});
  }
}

void DiskFaults::addStateLosses() {
  const Step tear = [this](SimulatedCore& core) {
    core.disk().tearWrite(1);
    schedule_(PowerLossWait, [this, &core] { loseState(core, [](SimulatedCore&) {}); });
  };
  const Step flip = [this](SimulatedCore& core) {
    loseState(core, [this](SimulatedCore& damaged) { damageFile(damaged, false); });
  };
  const Step truncate = [this](SimulatedCore& core) {
    loseState(core, [this](SimulatedCore& damaged) { damageFile(damaged, true); });
  };
  const Step wipe = [this](SimulatedCore& core) {
    loseState(core, [](SimulatedCore& damaged) { damaged.disk().wipe(); });
  };
  for (const Step& step : {tear, flip, truncate, wipe}) {
    entries_.push_back({step, true, true});
  }
}

void DiskFaults::powerLossAt(SimulatedCore& core, std::uint64_t nth) {
  core.disk().interruptAt(nth);
  schedule_(PowerLossWait, [this, &core] {
    if (core.running()) {
      core.kill(CrashKind::PowerLoss);
      restartSoon(core);
    }
  });
}

void DiskFaults::restartSoon(SimulatedCore& core) {
  schedule_(milliseconds(100 + fleet_.world.random().below(900)), [&core] {
    if (!core.running()) {
      core.start();
    }
  });
}

void DiskFaults::loseState(SimulatedCore& core, const std::function<void(SimulatedCore&)>& damage) {
  if (!core.running()) {
    return;
  }
  core.kill(CrashKind::Kill);
  damage(core);
  restartSoon(core);
}

void DiskFaults::damageFile(SimulatedCore& core, bool truncate) {
  const std::vector<std::string> names = core.disk().list("records");
  if (names.empty()) {
    return;
  }
  const std::string path = "records/" + names[fleet_.world.random().below(names.size())];
  const std::size_t size = core.disk().read(path).size();
  if (size == 0) {
    return;
  }
  const std::size_t place = fleet_.world.random().below(size);
  if (truncate) {
    core.disk().truncate(path, place);
  } else {
    core.disk().flipByte(path, place);
  }
}

bool DiskFaults::lostState(SimulatedCore& core) const {
  return !core.running() || !core.node().acceptor().mayVote();
}

bool DiskFaults::impaired(SimulatedCore& core) const {
  const auto until = impaired_until_.find(&core);
  const bool slow_or_full = until != impaired_until_.end() && fleet_.world.now() < until->second;
  return slow_or_full || lostState(core);
}

SimulatedCore* DiskFaults::chooseCore(bool impairs, bool loses_state) {
  std::vector<SimulatedCore*> candidates;
  std::size_t impaired_cores = 0;
  bool any_lost = false;
  for (const auto& core : fleet_.cores) {
    if (impaired(*core)) {
      ++impaired_cores;
      any_lost = any_lost || lostState(*core);
    } else {
      candidates.push_back(core.get());
    }
  }
  const bool too_many = impairs && impaired_cores >= MaxImpairedCores;
  if (candidates.empty() || too_many || (loses_state && any_lost)) {
    return nullptr;
  }
  return candidates[fleet_.world.random().below(candidates.size())];
}

void DiskFaults::injectNext() {
  const Entry& entry = entries_[next_];
  next_ = (next_ + 1) % entries_.size();
  if (SimulatedCore* core = chooseCore(entry.impairs, entry.loses_state)) {
    entry.step(*core);
    ++injected_;
  }
}

void DiskFaults::end() {
  for (const auto& core : fleet_.cores) {
    core->disk().clearFaults();
    core->disk().setFull(false);
    // A disk that was interrupted during an operation belongs to a machine that loses power.
    if (core->running() && core->disk().interrupted()) {
      core->kill(CrashKind::PowerLoss);
    }
  }
}

}  // namespace switchsaddle::scenarios
