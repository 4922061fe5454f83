#include <algorithm>
#include <utility>

#include "random_duration.h"
#include "switchsaddle/scenarios/configuration_scenario.h"

/** The faults that the configuration scenario injects. */

namespace switchsaddle::scenarios {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Share of disk faults among all faults, if disk faults are enabled. */
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
      freezeRandomNode();
      break;
    case 4:
      partitionRandomNodes();
      break;
    case 5:
      partitionCores();
      break;
    case 6:
      // With disk faults, DiskFaults wipes disks and limits how many have lost their state.
      if (!disk_faults_) {
        wipeRandomCore();
      }
      break;
    case 7:
      killFronts();
      break;
    case 8:
      restartInTurn();
      break;
    case 9:
      isolateFrontAfterFreeze();
      break;
    case 10:
      restartCoresDuringIsolation();
      break;
    default:
      killFront();
      break;
  }
}

void ConfigurationScenario::restart(SimulatedCore& core, base::Duration longest) {
  schedule(randomDuration(fleet_.world.random(), milliseconds(100), longest), [&core] {
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

/** Sometimes kills or freezes a core that was just sent a change, before or while it proposes it.
 */
void ConfigurationScenario::injectProposerFault(const base::NodeAddress& node) {
  base::RandomSource& random = fleet_.world.random();
  if (faults_ended_ || !random.chance(0.04)) {
    return;
  }
  for (const auto& core : fleet_.cores) {
    if (core->address() != node) {
      continue;
    }
    const bool freezes = random.chance(0.5);
    schedule(randomDuration(random, milliseconds(0), milliseconds(15)),
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
  schedule(randomDuration(fleet_.world.random(), milliseconds(100), longest), [this, &process] {
    if (process.running() && process.frozen()) {
      process.wake();
      // Checks the front before it processes any message that arrived while it was frozen.
      poll();
    }
  });
}

void ConfigurationScenario::freezeRandomNode() {
  base::RandomSource& random = fleet_.world.random();
  const bool is_front = random.chance(0.5);
  simulation::Process& process = is_front
                                     ? fleet_.fronts[random.below(fleet_.fronts.size())]->process()
                                     : fleet_.cores[random.below(fleet_.cores.size())]->process();
  freezeFor(process, random.chance(0.2) ? seconds(20) : seconds(4));
}

/** Partitions a node from all cores, for at most `longest`. */
void ConfigurationScenario::isolateNode(const base::NodeAddress& node, base::Duration longest) {
  for (const auto& core : fleet_.cores) {
    fleet_.network.cut(node, core->address());
  }
  schedule(randomDuration(fleet_.world.random(), milliseconds(500), longest),
           [this] { fleet_.network.healAll(); });
}

/** A front processes answers from before its freeze when it wakes, and receives none after them. */
void ConfigurationScenario::isolateFrontAfterFreeze() {
  base::RandomSource& random = fleet_.world.random();
  WatchedFront& front = *fleet_.fronts[random.below(fleet_.fronts.size())];
  if (!front.running() || front.process().frozen()) {
    return;
  }
  front.process().freeze();
  schedule(randomDuration(random, milliseconds(200), milliseconds(950)), [this, &front] {
    isolateNode(front.address(), seconds(3));
    if (front.running() && front.process().frozen()) {
      front.process().wake();
      poll();
    }
  });
}

/** Cores lose their session tables by a restart while a front with a session can't reach them. */
void ConfigurationScenario::restartCoresDuringIsolation() {
  base::RandomSource& random = fleet_.world.random();
  const WatchedFront& front = *fleet_.fronts[random.below(fleet_.fronts.size())];
  isolateNode(front.address(), seconds(3));
  for (const auto& core : fleet_.cores) {
    if (core->running() && random.chance(0.9)) {
      core->kill(CrashKind::Kill);
      restart(*core, milliseconds(150));
    }
  }
}

/** Partitions one or two cores from the other cores; all other nodes reach both sides. */
void ConfigurationScenario::partitionCores() {
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
  schedule(randomDuration(random, milliseconds(100), seconds(6)),
           [this] { fleet_.network.healAll(); });
}

void ConfigurationScenario::partitionRandomNodes() {
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
  schedule(randomDuration(random, milliseconds(100), seconds(4)),
           [this] { fleet_.network.healAll(); });
}

void ConfigurationScenario::wipeRandomCore() {
  // The design loses data if more than a minority of disks is lost at once.
  if (last_wiped_core_ != nullptr && !fleet_.admitted(*last_wiped_core_)) {
    return;
  }
  SimulatedCore& core = *fleet_.cores[fleet_.world.random().below(fleet_.cores.size())];
  if (!fleet_.admitted(core)) {
    return;
  }
  last_wiped_core_ = &core;
  core.kill(CrashKind::Wipe);
  restart(core, seconds(3));
}

void ConfigurationScenario::killFront() {
  WatchedFront& front = *fleet_.fronts[fleet_.world.random().below(fleet_.fronts.size())];
  if (!front.running()) {
    return;
  }
  front.kill();
  schedule(randomDuration(fleet_.world.random(), milliseconds(50), seconds(2)), [&front] {
    if (!front.running()) {
      front.start();
    }
  });
}

void ConfigurationScenario::killFronts() {
  for (const auto& front : fleet_.fronts) {
    if (front->running()) {
      front->kill();
      schedule(randomDuration(fleet_.world.random(), milliseconds(50), seconds(1)), [&front] {
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
      schedule(delay, [&front] {
        front->kill();
        front->start();
      });
      delay += turn;
    }
    return;
  }
  for (const auto& core : fleet_.cores) {
    schedule(delay, [&core] {
      if (core->running()) {
        core->kill(CrashKind::Kill);
        core->start();
      }
    });
    delay += turn;
  }
}

}  // namespace switchsaddle::scenarios
