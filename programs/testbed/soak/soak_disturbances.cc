#include "soak/soak_disturbances.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

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
constexpr const char* FrontHerd = "front-herd";
constexpr const char* FrontSettings = "front-settings";
constexpr const char* CoreSettings = "core-settings";
constexpr const char* CoreDisk = "core-disk";
constexpr const char* CoreWipe = "core-wipe";
constexpr const char* CoreReplace = "core-replace";
constexpr const char* CoreAfterAcknowledgement = "core-after-acknowledgement";
constexpr const char* WorkerRestart = "worker-restart";
constexpr const char* Change = "change";
constexpr std::array AllKinds{
    FrontTerm,     FrontLate,    FrontKill,     FrontFreeze,   FrontSuccessor,
    FrontHangup,   FrontHerd,    CoreTerm,      CoreKill,      CoreKillAll,
    CoreFreeze,    CoreDisk,     CoreWipe,      CoreReplace,   CoreAfterAcknowledgement,
    FrontSettings, CoreSettings, CoreSuccessor, WorkerRestart, Change};
/** Kinds under which a front answers every request that it has taken. */
constexpr std::array OrderlyKinds{FrontTerm,  FrontHangup,   CoreTerm, CoreKill,
                                  CoreFreeze, CoreSuccessor, Change};

constexpr int Operators = 4;
constexpr int LongestOperatorPauseMs = 600;
/** Share of the fronts that a herd takes. */
constexpr double HerdShare = 0.55;

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
  if (!fleet_.hasFaultyDisks()) {
    std::erase(kinds_, CoreDisk);
  }
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
  SoakActions actions = actionsOf(random);
  if (kind == CoreKillAll) {
    disturbTogether(kind, reserveAll(ProcessRole::Core), actions);
    return;
  }
  if (kind == FrontHerd) {
    disturbTogether(kind, reserveSeveral(ProcessRole::Front, HerdShare, random), actions);
    return;
  }
  if (kind == CoreAfterAcknowledgement) {
    kills_next_acknowledger_ = true;
    return;
  }
  const bool loses_disk = kind == CoreWipe || kind == CoreReplace;
  if (loses_disk && losing_disk_.exchange(true)) {
    return;
  }
  const bool is_front = kind.starts_with("front");
  const std::string name = reserve(is_front ? ProcessRole::Front : ProcessRole::Core, random);
  if (!name.empty()) {
    note(kind, name);
    act(kind, name, actions);
    release(name);
  }
  if (loses_disk) {
    losing_disk_ = false;
  }
}

void SoakDisturbances::act(const std::string& kind, const std::string& name, SoakActions& actions) {
  if (kind == FrontTerm || kind == CoreTerm) {
    actions.terminate(name, includes(kind == FrontTerm ? FrontKill : CoreKill));
  } else if (kind == FrontKill || kind == CoreKill) {
    actions.kill(name);
  } else if (kind == FrontSuccessor || kind == CoreSuccessor) {
    actions.succeed(name);
  } else if (kind == FrontFreeze || kind == CoreFreeze) {
    actions.freeze(name);
  } else if (kind == FrontLate) {
    actions.slow(name);
  } else if (kind == CoreWipe) {
    actions.wipe(name);
  } else if (kind == CoreReplace) {
    actions.replaceCore(name);
  } else if (kind == CoreDisk) {
    actions.disturbDisk(name);
  } else if (kind == FrontSettings || kind == CoreSettings) {
    actions.changeSettings(name);
  } else {
    fleet_.hangUp(name);
  }
}

SoakActions SoakDisturbances::actionsOf(base::RandomSource& random) {
  return SoakActions(
      fleet_, interruption_, random,
      [this](const std::string& event, const std::string& subject) { note(event, subject); });
}

void SoakDisturbances::disturbTogether(const std::string& kind,
                                       const std::vector<std::string>& names,
                                       SoakActions& actions) {
  for (const std::string& name : names) {
    note(kind, name);
  }
  if (!names.empty()) {
    actions.killTogether(names);
  }
  for (const std::string& name : names) {
    release(name);
  }
}

void SoakDisturbances::onAcknowledged(const base::NodeAddress& node, base::RandomSource& random) {
  if (!kills_next_acknowledger_.exchange(false)) {
    return;
  }
  const std::string name = reserveCoreAt(node);
  if (!name.empty()) {
    note(CoreAfterAcknowledgement, name);
    actionsOf(random).kill(name);
    release(name);
  }
}

void SoakDisturbances::operate(std::uint64_t seed) {
  base::RandomSource random(seed);
  const OperatorPtr soak_operator = fleet_.dialect().createOperator(
      {.nodes = [this] { return fleet_.controlAddresses(); },
       .key = SoakOperatorKey,
       .number = seed,
       .ledger = ledger_,
       .history = history_,
       .on_acknowledged =
           [this, &random](const base::NodeAddress& node) { onAcknowledged(node, random); }});
  while (pause(random, 0, LongestOperatorPauseMs)) {
    soak_operator->operate(random);
  }
}

std::string SoakDisturbances::reserve(ProcessRole role, base::RandomSource& random) {
  const std::lock_guard lock(mutex_);
  const std::vector<std::string> names = reservable(role);
  if (names.empty()) {
    return {};
  }
  std::string chosen = names[random.below(names.size())];
  reserved_.insert(chosen);
  return chosen;
}

std::vector<std::string> SoakDisturbances::reservable(ProcessRole role) {
  std::vector<std::string> names = fleet_.namesOf(role);
  const std::size_t all = names.size();
  std::erase_if(names, [this](const std::string& name) { return reserved_.contains(name); });
  const std::size_t disturbed = all - names.size();
  const std::size_t limit = role == ProcessRole::Core ? (all - 1) / 2 : all / 2;
  return disturbed < limit ? names : std::vector<std::string>();
}

std::vector<std::string> SoakDisturbances::reserveSeveral(ProcessRole role, double share,
                                                          base::RandomSource& random) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names = reservable(role);
  std::erase_if(names, [&random, share](const std::string&) { return !random.chance(share); });
  reserved_.insert(names.begin(), names.end());
  return names;
}

std::string SoakDisturbances::reserveCoreAt(const base::NodeAddress& address) {
  const std::lock_guard lock(mutex_);
  const std::vector<std::string> names = reservable(ProcessRole::Core);
  const std::string name = fleet_.coreAt(address);
  if (std::ranges::find(names, name) == names.end()) {
    return {};
  }
  reserved_.insert(name);
  return name;
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
