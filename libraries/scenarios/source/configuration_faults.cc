#include <algorithm>
#include <utility>

#include "random_duration.h"
#include "switchsaddle/scenarios/configuration_scenario.h"

/** The faults which the configuration scenario brings about. */

namespace switchsaddle::scenarios {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Part of the faults that befall disks, where these are asked for. */
constexpr double DiskFaultShare = 0.7;

}  // namespace

void ConfigurationScenario::injectFault() {
  ++result_.faults;
  if (disk_faults_ && fleet_.world.random().chance(DiskFaultShare)) {
    disk_faults_->injectNext();
    return;
  }
  switch (fleet_.world.random().below(13)) {
    case 0:
    case 1:
      killCores();
      break;
    case 2:
    case 3:
      freezeSome();
      break;
    case 4:
      cutSome();
      break;
    case 5:
      cutCores();
      break;
    case 6:
      // The disk troubles keep count of the disks they empty themselves.
      if (!disk_faults_) {
        wipeOne();
      }
      break;
    case 7:
      killFronts();
      break;
    case 8:
      restartInTurn();
      break;
    case 9:
      freezeThenCutOffFront();
      break;
    case 10:
      restartCoresUnseen();
      break;
    default:
      killFront();
      break;
  }
}

void ConfigurationScenario::restart(SimulatedCore& core, base::Duration longest) {
  later(randomDuration(fleet_.world.random(), milliseconds(100), longest), [&core] {
    if (!core.running()) {
      core.start();
    }
  });
}

void ConfigurationScenario::killCores() {
  base::RandomSource& random = fleet_.world.random();
  const bool many = random.chance(0.2);
  const double share = many ? 0.8 : 1.0 / static_cast<double>(fleet_.cores.size());
  for (const auto& core : fleet_.cores) {
    if (core->running() && random.chance(share)) {
      core->kill(random.chance(0.5) ? CrashKind::Kill : CrashKind::PowerLoss);
      restart(*core, seconds(3));
    }
  }
}

/** A core that was just sent a change may be killed or frozen before it has proposed it. */
void ConfigurationScenario::harmProposer(const base::NodeAddress& node) {
  base::RandomSource& random = fleet_.world.random();
  if (calm_ || !random.chance(0.04)) {
    return;
  }
  for (const auto& core : fleet_.cores) {
    if (core->address() != node) {
      continue;
    }
    const bool freezes = random.chance(0.5);
    later(randomDuration(random, milliseconds(0), milliseconds(15)),
          [this, &proposer = *core, freezes] {
            if (!proposer.running()) {
              return;
            }
            ++result_.faults;
            if (freezes) {
              freezeFor(proposer.process(), seconds(20));
            } else {
              proposer.kill(CrashKind::PowerLoss);
              restart(proposer, seconds(3));
            }
          });
  }
}

void ConfigurationScenario::freezeFor(simulation::Process& process, base::Duration longest) {
  if (!process.running() || process.frozen()) {
    return;
  }
  process.freeze();
  later(randomDuration(fleet_.world.random(), milliseconds(100), longest), [this, &process] {
    if (process.running() && process.frozen()) {
      process.wake();
      // At this very moment a woken front has heard nothing yet.
      poll();
    }
  });
}

void ConfigurationScenario::freezeSome() {
  base::RandomSource& random = fleet_.world.random();
  const bool is_front = random.chance(0.5);
  simulation::Process& process = is_front
                                     ? fleet_.fronts[random.below(fleet_.fronts.size())]->process()
                                     : fleet_.cores[random.below(fleet_.cores.size())]->process();
  freezeFor(process, random.chance(0.2) ? seconds(20) : seconds(4));
}

/** Cuts a node off from all cores, for up to `longest`. */
void ConfigurationScenario::cutOff(const base::NodeAddress& node, base::Duration longest) {
  for (const auto& core : fleet_.cores) {
    fleet_.network.cut(node, core->address());
  }
  later(randomDuration(fleet_.world.random(), milliseconds(500), longest),
        [this] { fleet_.network.healAll(); });
}

/** A front wakes to answers from before its freeze, and gets none after them. */
void ConfigurationScenario::freezeThenCutOffFront() {
  base::RandomSource& random = fleet_.world.random();
  WatchedFront& front = *fleet_.fronts[random.below(fleet_.fronts.size())];
  if (!front.running() || front.process().frozen()) {
    return;
  }
  front.process().freeze();
  later(randomDuration(random, milliseconds(200), milliseconds(950)), [this, &front] {
    cutOff(front.address(), seconds(3));
    if (front.running() && front.process().frozen()) {
      front.process().wake();
      poll();
    }
  });
}

/** Cores forget their session tables while a front with a session can't reach them. */
void ConfigurationScenario::restartCoresUnseen() {
  base::RandomSource& random = fleet_.world.random();
  const WatchedFront& front = *fleet_.fronts[random.below(fleet_.fronts.size())];
  cutOff(front.address(), seconds(3));
  for (const auto& core : fleet_.cores) {
    if (core->running() && random.chance(0.9)) {
      core->kill(CrashKind::Kill);
      restart(*core, milliseconds(150));
    }
  }
}

/** The cores fall into two parts, of one or two and of the rest; all else reaches both. */
void ConfigurationScenario::cutCores() {
  base::RandomSource& random = fleet_.world.random();
  const std::size_t count = fleet_.cores.size();
  const std::size_t first = random.below(count);
  const std::size_t cut_off = 1 + random.below(2);
  for (std::size_t inside = 0; inside < cut_off; ++inside) {
    for (std::size_t outside = cut_off; outside < count; ++outside) {
      fleet_.network.cut(fleet_.cores[(first + inside) % count]->address(),
                         fleet_.cores[(first + outside) % count]->address());
    }
  }
  later(randomDuration(random, milliseconds(100), seconds(6)),
        [this] { fleet_.network.healAll(); });
}

void ConfigurationScenario::cutSome() {
  base::RandomSource& random = fleet_.world.random();
  std::vector<base::NodeAddress> others;
  for (const auto& core : fleet_.cores) {
    others.push_back(core->address());
  }
  for (const auto& front : fleet_.fronts) {
    others.push_back(front->address());
  }
  std::vector<base::NodeAddress> one_side;
  for (const base::NodeAddress& address : others) {
    if (random.chance(0.3)) {
      one_side.push_back(address);
    }
  }
  for (const base::NodeAddress& inside : one_side) {
    for (const base::NodeAddress& outside : others) {
      if (std::find(one_side.begin(), one_side.end(), outside) == one_side.end()) {
        fleet_.network.cut(inside, outside);
      }
    }
  }
  later(randomDuration(random, milliseconds(100), seconds(4)),
        [this] { fleet_.network.healAll(); });
}

void ConfigurationScenario::wipeOne() {
  // More disks lost at once than a minority would lose data by design.
  if (wiped_ != nullptr && !fleet_.admitted(*wiped_)) {
    return;
  }
  SimulatedCore& core = *fleet_.cores[fleet_.world.random().below(fleet_.cores.size())];
  if (!fleet_.admitted(core)) {
    return;
  }
  wiped_ = &core;
  core.kill(CrashKind::Wipe);
  restart(core, seconds(3));
}

void ConfigurationScenario::killFront() {
  WatchedFront& front = *fleet_.fronts[fleet_.world.random().below(fleet_.fronts.size())];
  if (!front.running()) {
    return;
  }
  front.kill();
  later(randomDuration(fleet_.world.random(), milliseconds(50), seconds(2)), [&front] {
    if (!front.running()) {
      front.start();
    }
  });
}

void ConfigurationScenario::killFronts() {
  for (const auto& front : fleet_.fronts) {
    if (front->running()) {
      front->kill();
      later(randomDuration(fleet_.world.random(), milliseconds(50), seconds(1)), [&front] {
        if (!front->running()) {
          front->start();
        }
      });
    }
  }
}

void ConfigurationScenario::restartInTurn() {
  const bool fronts = fleet_.world.random().chance(0.5);
  base::Duration delay = milliseconds(0);
  const auto turn = milliseconds(400);
  if (fronts) {
    for (const auto& front : fleet_.fronts) {
      later(delay, [&front] {
        front->kill();
        front->start();
      });
      delay += turn;
    }
    return;
  }
  for (const auto& core : fleet_.cores) {
    later(delay, [&core] {
      if (core->running()) {
        core->kill(CrashKind::Kill);
        core->start();
      }
    });
    delay += turn;
  }
}

}  // namespace switchsaddle::scenarios
