#include "soak/soak_disturbances.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include "soak/soak_operator.h"
#include "switchsaddle/testbed/fleet/process_control.h"

namespace switchsaddle::testbed_commands {
namespace {

using std::chrono::milliseconds;
using testbed::ProcessRole;

constexpr const char* FrontTerm = "front-term";
constexpr const char* FrontKill = "front-kill";
constexpr const char* FrontFreeze = "front-freeze";
constexpr const char* FrontLate = "front-late";
constexpr const char* FrontHangup = "front-hangup";
constexpr const char* FrontSuccessor = "front-successor";
constexpr const char* CoreTerm = "core-term";
constexpr const char* CoreSuccessor = "core-successor";
constexpr const char* CoreKillAll = "core-kill-all";
constexpr const char* CoreKill = "core-kill";
constexpr const char* CoreFreeze = "core-freeze";
constexpr const char* WorkerRestart = "worker-restart";
constexpr const char* Change = "change";
constexpr std::array AllKinds{FrontTerm,     FrontLate,     FrontKill, FrontFreeze, FrontSuccessor,
                              FrontHangup,   CoreTerm,      CoreKill,  CoreKillAll, CoreFreeze,
                              CoreSuccessor, WorkerRestart, Change};
/** Kinds under which a front answers every request that it has taken. */
constexpr std::array OrderlyKinds{FrontTerm,  FrontHangup,   CoreTerm, CoreKill,
                                  CoreFreeze, CoreSuccessor, Change};

/** The supervisor kills a process that has not ended this long after its first SIGTERM. */
constexpr base::Duration Grace = std::chrono::seconds(8);
constexpr base::Duration KillLimit = std::chrono::seconds(5);
constexpr int MaximumTerms = 3;
constexpr double HangupShare = 0.3;
constexpr double EarlyHangupShare = 0.5;
/** A start takes up to so long on a busy machine. */
constexpr int LatestEarlyHangupMs = 40;
constexpr double KilledDuringShutdownShare = 0.3;
/** Short stops in a row, which make a process late without freezing it. */
constexpr int ShortStops = 20;
constexpr int Operators = 4;
constexpr int LongestOperatorPauseMs = 600;

}  // namespace

std::vector<std::string> soakDisturbanceKinds() {
  return {AllKinds.begin(), AllKinds.end()};
}

bool answersAreOwed(const std::vector<std::string>& kinds) {
  return std::ranges::all_of(kinds, [](const std::string& kind) {
    return std::ranges::find(OrderlyKinds, kind) != OrderlyKinds.end();
  });
}

SoakDisturbances::SoakDisturbances(SoakFleet& fleet, testbed::RunLedger& ledger,
                                   testbed::ControlHistory& history, std::vector<std::string> kinds,
                                   int threads, std::uint64_t seed, const std::string& file)
    : fleet_(fleet), ledger_(ledger), history_(history), record_(file), kinds_(std::move(kinds)) {
  if (includes(Change)) {
    for (int number = 1; number <= Operators; ++number) {
      threads_.emplace_back(
          [this, number, seed] { operate(seed + static_cast<std::uint64_t>(number)); });
    }
    std::erase(kinds_, Change);
  }
  for (int number = 1; number <= threads && !kinds_.empty(); ++number) {
    threads_.emplace_back(
        [this, number, seed] { disturb(seed * 100 + static_cast<std::uint64_t>(number)); });
  }
}

SoakDisturbances::~SoakDisturbances() {
  stop();
}

void SoakDisturbances::stop() {
  interruption_.raise();
  for (std::thread& thread : std::exchange(threads_, {})) {
    thread.join();
  }
}

bool SoakDisturbances::includes(const std::string& kind) const {
  return std::ranges::find(kinds_, kind) != kinds_.end();
}

bool SoakDisturbances::pause(base::RandomSource& random, int least_ms, int most_ms) {
  const auto range = static_cast<std::uint64_t>(most_ms) - static_cast<std::uint64_t>(least_ms) + 1;
  return interruption_.wait(milliseconds(least_ms) + milliseconds(random.below(range)));
}

void SoakDisturbances::note(const std::string& event, const std::string& subject) {
  const std::lock_guard lock(mutex_);
  record_ << ledger_.elapsedSeconds() << ' ' << event << ' ' << subject << std::endl;
}

void SoakDisturbances::disturb(std::uint64_t seed) {
  base::RandomSource random(seed);
  while (pause(random, 100, 1'500)) {
    disturbOnce(kinds_[random.below(kinds_.size())], random);
  }
}

void SoakDisturbances::disturbOnce(const std::string& kind, base::RandomSource& random) {
  if (kind == WorkerRestart) {
    const auto& workers = fleet_.workers();
    const std::size_t index = random.below(workers.size());
    const std::string name = "worker-" + std::to_string(index);
    {
      const std::lock_guard lock(mutex_);
      if (!reserved_.insert(name).second) {
        return;
      }
    }
    note(WorkerRestart, name);
    workers[index].worker->restart(milliseconds(50 + random.below(950)));
    release(name);
    return;
  }
  disturbProcess(kind, random);
}

void SoakDisturbances::disturbProcess(const std::string& kind, base::RandomSource& random) {
  if (kind == CoreKillAll) {
    killAllCores(random);
    return;
  }
  const bool is_front = kind.starts_with("front");
  const std::string name = reserve(is_front ? ProcessRole::Front : ProcessRole::Core, random);
  if (name.empty()) {
    return;
  }
  note(kind, name);
  if (kind == FrontTerm || kind == CoreTerm) {
    terminate(name, includes(is_front ? FrontKill : CoreKill), random);
  } else if (kind == FrontKill || kind == CoreKill) {
    kill(name, random);
  } else if (kind == FrontSuccessor || kind == CoreSuccessor) {
    succeed(name, random);
  } else if (kind == FrontFreeze || kind == CoreFreeze) {
    freeze(name, random);
  } else if (kind == FrontLate) {
    slow(name, random);
  } else {
    fleet_.signal(name, SIGHUP);
  }
  release(name);
}

void SoakDisturbances::terminate(const std::string& name, bool may_kill,
                                 base::RandomSource& random) {
  const std::uint64_t terms = 1 + random.below(MaximumTerms);
  for (std::uint64_t number = 0; number < terms; ++number) {
    note("sigterm", name);
    fleet_.signal(name, SIGTERM);
    if (random.chance(HangupShare)) {
      fleet_.signal(name, SIGHUP);
    }
    pause(random, 0, 500);
  }
  if (may_kill && random.chance(KilledDuringShutdownShare)) {
    pause(random, 0, 3'000);
    note("kill-during-shutdown", name);
    fleet_.signal(name, SIGKILL);
  }
  if (!fleet_.waitForEnd(name, Grace)) {
    fleet_.signal(name, SIGKILL);
    fleet_.waitForEnd(name, KillLimit);
  }
  note("ended", name);
  pause(random, 0, 1'000);
  startAgain(name, random);
}

void SoakDisturbances::kill(const std::string& name, base::RandomSource& random) {
  fleet_.signal(name, SIGKILL);
  fleet_.waitForEnd(name, KillLimit);
  pause(random, 0, 2'000);
  startAgain(name, random);
}

void SoakDisturbances::succeed(const std::string& name, base::RandomSource& random) {
  const testbed::ProcessIdentity predecessor = fleet_.identityOf(name);
  testbed::sendSignal(predecessor, SIGTERM);
  pause(random, 0, 500);
  fleet_.startSuccessor(name);
  hangUpEarly(name, random);
  if (!testbed::waitForCondition(predecessor, testbed::ProcessCondition::Exited, Grace)) {
    testbed::sendSignal(predecessor, SIGKILL);
    testbed::waitForCondition(predecessor, testbed::ProcessCondition::Exited, KillLimit);
  }
  note("predecessor-ended", name);
}

void SoakDisturbances::killAllCores(base::RandomSource& random) {
  const std::vector<std::string> names = reserveAll(ProcessRole::Core);
  if (names.empty()) {
    return;
  }
  note(CoreKillAll, "all");
  for (const std::string& name : names) {
    fleet_.signal(name, SIGKILL);
  }
  for (const std::string& name : names) {
    fleet_.waitForEnd(name, KillLimit);
  }
  pause(random, 0, 1'000);
  for (const std::string& name : names) {
    startAgain(name, random);
    release(name);
  }
}

void SoakDisturbances::startAgain(const std::string& name, base::RandomSource& random) {
  fleet_.startAgain(name);
  hangUpEarly(name, random);
}

void SoakDisturbances::hangUpEarly(const std::string& name, base::RandomSource& random) {
  if (random.chance(EarlyHangupShare)) {
    pause(random, 0, LatestEarlyHangupMs);
    const testbed::ProcessIdentity process = fleet_.identityOf(name);
    if (testbed::protectsItselfFrom(process, SIGHUP)) {
      note("sighup-while-starting", name);
      testbed::sendSignal(process, SIGHUP);
    }
  }
}

void SoakDisturbances::freeze(const std::string& name, base::RandomSource& random) {
  fleet_.signal(name, SIGSTOP);
  pause(random, 200, 3'500);
  fleet_.signal(name, SIGCONT);
}

void SoakDisturbances::slow(const std::string& name, base::RandomSource& random) {
  for (int stop = 0; stop < ShortStops; ++stop) {
    fleet_.signal(name, SIGSTOP);
    pause(random, 50, 150);
    fleet_.signal(name, SIGCONT);
    pause(random, 5, 30);
  }
}

void SoakDisturbances::operate(std::uint64_t seed) {
  base::RandomSource random(seed);
  SoakOperator soak_operator(fleet_.controlAddresses(), fleet_.operatorKey(), seed, ledger_,
                             history_);
  while (pause(random, 0, LongestOperatorPauseMs)) {
    soak_operator.operate(random);
  }
}

std::string SoakDisturbances::reserve(ProcessRole role, base::RandomSource& random) {
  std::vector<std::string> names = fleet_.namesOf(role);
  const std::lock_guard lock(mutex_);
  const std::size_t all = names.size();
  std::erase_if(names, [this](const std::string& name) { return reserved_.contains(name); });
  const std::size_t disturbed = all - names.size();
  const std::size_t limit = role == ProcessRole::Core ? (all - 1) / 2 : all / 2;
  if (disturbed >= limit) {
    return {};
  }
  std::string chosen = names[random.below(names.size())];
  reserved_.insert(chosen);
  return chosen;
}

std::vector<std::string> SoakDisturbances::reserveAll(ProcessRole role) {
  const std::vector<std::string> names = fleet_.namesOf(role);
  const std::lock_guard lock(mutex_);
  const bool is_disturbed = std::ranges::any_of(
      names, [this](const std::string& name) { return reserved_.contains(name); });
  if (is_disturbed) {
    return {};
  }
  reserved_.insert(names.begin(), names.end());
  return names;
}

void SoakDisturbances::release(const std::string& name) {
  const std::lock_guard lock(mutex_);
  reserved_.erase(name);
}

}  // namespace switchsaddle::testbed_commands
