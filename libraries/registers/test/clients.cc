#include "clients.h"

namespace switchsaddle::registers {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Clients::start(std::size_t clients) {
  for (std::size_t client = 0; client < clients; ++client) {
    step();
  }
}

void Clients::step() {
  if (stopping_) {
    return;
  }
  simulation::World& world = cluster_.world;
  TestCore& core = cluster_.core(world.random().below(cluster_.size()));
  if (core.process.running() && !core.process.frozen()) {
    operate(core);
  }
  world.schedule(milliseconds(1 + world.random().below(30)), [this] { step(); });
}

void Clients::operate(TestCore& core) {
  const bool is_change = cluster_.world.random().chance(0.6);
  const std::size_t operation = history.begin(is_change, cluster_.world.now());
  const auto callback = [this, operation](const RegisterOutcome& outcome) {
    history.end(operation, outcome, cluster_.world.now());
  };
  if (is_change) {
    core.proposer->change(Key, History::increment(operation), callback);
  } else {
    core.proposer->read(Key, callback);
  }
}

RegisterOutcome Clients::readOnce() {
  RegisterOutcome read;
  bool done = false;
  const std::size_t operation = history.begin(false, cluster_.world.now());
  cluster_.core(cluster_.coreWithAcceptorSet())
      .proposer->read(Key, [&](const RegisterOutcome& outcome) {
        history.end(operation, outcome, cluster_.world.now());
        read = outcome;
        done = true;
      });
  cluster_.world.runUntil([&] { return done; }, seconds(10));
  return read;
}

void FaultInjector::run(base::Duration duration) {
  const base::TimePoint end = cluster_.world.now() + duration;
  while (cluster_.world.now() < end) {
    cluster_.world.runFor(milliseconds(10 + cluster_.world.random().below(120)));
    injectOne();
  }
}

void FaultInjector::heal() {
  cluster_.network.healAll();
  cluster_.network.conditions.loss = 0;
  for (std::size_t index = 0; index < cluster_.size(); ++index) {
    cluster_.core(index).process.wake();
    cluster_.restart(index);
  }
}

void FaultInjector::injectOne() {
  simulation::World& world = cluster_.world;
  const std::size_t index = world.random().below(cluster_.size());
  switch (world.random().below(9)) {
    case 0:
      cluster_.partitionAtRandom(2);
      break;
    case 1:
      cluster_.partitionAtRandom(1);
      break;
    case 2:
    case 3:
      cluster_.network.healAll();
      break;
    case 4:
      cluster_.kill(index);
      break;
    case 5:
      cluster_.core(index).process.freeze();
      break;
    case 6:
      if (wipes_left_ > 0 && world.random().chance(0.3)) {
        --wipes_left_;
        cluster_.wipe(index);
      }
      break;
    default:
      cluster_.core(index).process.wake();
      cluster_.restart(index);
      break;
  }
}

}  // namespace switchsaddle::registers
