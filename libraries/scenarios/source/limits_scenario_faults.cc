#include "switchsaddle/scenarios/limits_scenario.h"

namespace switchsaddle::scenarios {

namespace {

constexpr base::Duration BetweenFaults = std::chrono::milliseconds(700);
/** One in this many core faults kills all cores at once. */
constexpr std::uint64_t AllCoresOneIn = 20;

}  // namespace

base::Duration LimitsScenario::randomTime(std::uint64_t shortest_ms, std::uint64_t longest_ms) {
  const std::uint64_t extra = fleet_.world.random().below(longest_ms - shortest_ms + 1);
  return std::chrono::milliseconds(shortest_ms + extra);
}

void LimitsScenario::scheduleFaults() {
  for (base::Duration at = BetweenFaults; at < options_.duration; at += BetweenFaults) {
    fleet_.world.schedule(at, [this] { injectFault(); });
  }
}

void LimitsScenario::injectFault() {
  if (fleet_.world.random().chance(0.5)) {
    injectFrontFault();
  } else {
    injectCoreFault();
  }
}

void LimitsScenario::injectFrontFault() {
  SimulatedFront& front = *fronts_[fleet_.world.random().below(fronts_.size())];
  if (!front.running()) {
    return;
  }
  if (fleet_.world.random().chance(0.5)) {
    front.kill();
    fleet_.world.schedule(randomTime(200, 3'000), [this, &front] {
      if (!over_ && !front.running()) {
        front.start();
      }
    });
    return;
  }
  front.process().freeze();
  fleet_.world.schedule(randomTime(100, 5'000), [&front] { front.process().wake(); });
}

void LimitsScenario::restartLater(SimulatedCore& core, base::Duration after) {
  fleet_.world.schedule(after, [this, &core] {
    if (!over_ && !core.running()) {
      core.start();
    }
  });
}

void LimitsScenario::injectCoreFault() {
  base::RandomSource& random = fleet_.world.random();
  if (random.below(AllCoresOneIn) == 0) {
    for (const auto& core : fleet_.cores) {
      if (core->running()) {
        core->kill(CrashKind::Kill);
        restartLater(*core, randomTime(200, 1'500));
      }
    }
    return;
  }
  SimulatedCore* holder = fleet_.holderOf("limit-ledger/" + std::to_string(random.below(4)));
  switch (random.below(4)) {
    case 0:
      if (holder != nullptr) {
        holder->kill(CrashKind::Kill);
        restartLater(*holder, randomTime(500, 4'000));
      }
      break;
    case 1:
      if (holder != nullptr) {
        holder->process().freeze();
        fleet_.world.schedule(randomTime(200, 6'000), [holder] { holder->process().wake(); });
      }
      break;
    case 2:
      for (std::size_t minor = 0; minor < 2; ++minor) {
        for (std::size_t major = 2; major < fleet_.cores.size(); ++major) {
          fleet_.network.cut(fleet_.cores[minor]->address(), fleet_.cores[major]->address());
        }
      }
      break;
    default:
      fleet_.network.healAll();
      break;
  }
}

void LimitsScenario::restoreAll() {
  fleet_.network.healAll();
  for (const auto& core : fleet_.cores) {
    if (core->running()) {
      core->process().wake();
    } else {
      core->start();
    }
  }
  for (const auto& front : fronts_) {
    if (front->running()) {
      front->process().wake();
    } else {
      front->start();
    }
  }
}

}  // namespace switchsaddle::scenarios
