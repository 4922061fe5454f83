#include "failure_run.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>

#include "http_probe.h"
#include "operator_orders.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/process_ends.h"
#include "switchsaddle/testbed/records/order_event.h"

namespace switchsaddle::testbed_commands {
namespace {

namespace order_event = testbed::order_event;
using std::chrono::milliseconds;
using testbed::FleetProcess;
using testbed::ProcessCondition;
using testbed::ProcessRole;

constexpr base::Duration Tick = milliseconds(20);
constexpr base::Duration SignalLimit = std::chrono::seconds(10);
constexpr base::Duration UndoRetryInterval = milliseconds(500);
/** A complete fleet is required to serve again about 12 seconds after a restart. */
constexpr base::Duration RecoveryLimit = std::chrono::seconds(12);
constexpr base::Duration FaultAnswerLimit = std::chrono::seconds(1);
/** Longer than the duration of every session and lease. */
constexpr base::Duration LongFreezeTime = std::chrono::seconds(20);
constexpr std::array WorkerFaultModes{"crash", "stall",  "late",   "crossed",    "cut",
                                      "gap",   "repeat", "refuse", "change-run", "silent-close"};
constexpr std::array FailureKinds{
    "front-kill",  "front-freeze",     "front-stop",     "core-kill",   "core-freeze",
    "core-stop",   "core-freeze-long", "cores-kill-all", "worker-kill", "worker-freeze",
    "worker-stop", "worker-fault",     "worker-drain",   "evacuate",    "revoke"};

}  // namespace

std::vector<std::string> failureKinds() {
  return {FailureKinds.begin(), FailureKinds.end()};
}

FailureRun::FailureRun(Fleet& fleet, OrderRecord& record, std::uint64_t seed,
                       std::vector<std::string> kinds, std::vector<std::string> tenants)
    : fleet_(fleet),
      record_(record),
      random_(seed),
      name_("failures-" + std::to_string(seed)),
      kinds_(std::move(kinds)),
      tenants_(std::move(tenants)) {}

FailureRun::~FailureRun() {
  for (std::thread& thread : operators_) {
    thread.join();
  }
}

base::Duration FailureRun::between(int least_ms, int most_ms) {
  return milliseconds(least_ms + static_cast<int>(random_.below(most_ms - least_ms + 1)));
}

void FailureRun::later(base::Duration delay, Undo undo) {
  undos_.emplace(Clock::now() + delay, std::move(undo));
}

void FailureRun::injectFailures(base::Duration duration) {
  const Clock::time_point end = Clock::now() + duration;
  Clock::time_point next = Clock::now() + between(500, 1'500);
  while (Clock::now() < end) {
    runDueUndos(false);
    if (Clock::now() >= next) {
      injectFailure();
      next = Clock::now() + between(300, 2'000);
    }
    std::this_thread::sleep_for(Tick);
  }
}

void FailureRun::runDueUndos(bool all) {
  while (!undos_.empty() && (all || undos_.begin()->first <= Clock::now())) {
    const Undo undo = std::move(undos_.begin()->second);
    undos_.erase(undos_.begin());
    if (!undo()) {
      later(UndoRetryInterval, undo);
      if (all) {
        std::this_thread::sleep_for(UndoRetryInterval);
      }
    }
  }
}

void FailureRun::recover() {
  runDueUndos(true);
  for (std::thread& thread : operators_) {
    thread.join();
  }
  operators_.clear();
  fleet_.waitReady(fleet_.named({"all"}), RecoveryLimit);
  record_.note("healed", "all");
}

void FailureRun::injectFailure() {
  const std::string& kind = kinds_[random_.below(kinds_.size())];
  if (kind == "cores-kill-all") {
    killAllCores();
  } else if (kind == "worker-fault") {
    orderFault();
  } else if (kind == "worker-drain") {
    drainWorker();
  } else if (kind == "evacuate") {
    evacuateZone();
  } else if (kind == "revoke") {
    revokeKey();
  } else {
    const ProcessRole role = kind.starts_with("front")  ? ProcessRole::Front
                             : kind.starts_with("core") ? ProcessRole::Core
                                                        : ProcessRole::Worker;
    FleetProcess* process = pick(role);
    if (process == nullptr) {
      return;
    }
    if (kind.ends_with("-kill")) {
      kill(*process, between(200, 10'000));
    } else if (kind.ends_with("-stop")) {
      stop(*process, between(500, 4'000));
    } else if (kind.ends_with("-long")) {
      freeze(*process, LongFreezeTime);
    } else {
      const int longest_ms = role == ProcessRole::Worker ? 1'500 : 6'000;
      freeze(*process, between(200, longest_ms));
    }
  }
}

bool FailureRun::mayFail(const FleetProcess& process) const {
  if (affected_.contains(process.name)) {
    return false;
  }
  std::size_t all = 0;
  std::size_t affected = 0;
  // The names of all workers of a pool have the same prefix.
  const std::string pool = process.name.substr(0, process.name.rfind('-'));
  for (FleetProcess* other : fleet_.ofRole(process.role)) {
    const bool same = process.role != ProcessRole::Worker ||
                      other->name.substr(0, other->name.rfind('-')) == pool;
    all += same ? 1 : 0;
    affected += same && affected_.contains(other->name) ? 1 : 0;
  }
  const std::size_t limit = process.role == ProcessRole::Front ? all - 1 : (all - 1) / 2;
  return affected < limit;
}

FleetProcess* FailureRun::pick(ProcessRole role) {
  std::vector<FleetProcess*> candidates = fleet_.ofRole(role);
  std::erase_if(candidates, [this](const FleetProcess* process) { return !mayFail(*process); });
  return candidates.empty() ? nullptr : candidates[random_.below(candidates.size())];
}

void FailureRun::noteLeaving(const FleetProcess& process, const char* event) {
  if (process.role == ProcessRole::Worker) {
    record_.note(event, process.name);
  }
}

bool FailureRun::startAgain(const std::string& name) {
  FleetProcess* process = fleet_.state().find(name);
  if (testbed::conditionOf(Fleet::identityOf(*process)) != ProcessCondition::Exited) {
    return false;
  }
  noteLeaving(*process, order_event::Returned);
  record_.note("start", name);
  fleet_.start(*process);
  affected_.erase(name);
  return true;
}

void FailureRun::kill(FleetProcess& process, base::Duration down) {
  record_.note("kill", process.name, std::to_string(base::toMilliseconds(down)) + " ms");
  affected_.insert(process.name);
  fleet_.signalAll({&process}, SIGKILL, ProcessCondition::Exited, SignalLimit);
  noteLeaving(process, order_event::Vanished);
  later(down, [this, name = process.name] { return startAgain(name); });
}

void FailureRun::stop(FleetProcess& process, base::Duration down) {
  record_.note("stop", process.name, std::to_string(base::toMilliseconds(down)) + " ms");
  affected_.insert(process.name);
  testbed::sendSignal(Fleet::identityOf(process), SIGTERM);
  noteLeaving(process, order_event::Draining);
  later(down, [this, name = process.name] { return startAgain(name); });
}

void FailureRun::freeze(FleetProcess& process, base::Duration frozen) {
  record_.note("freeze", process.name, std::to_string(base::toMilliseconds(frozen)) + " ms");
  affected_.insert(process.name);
  fleet_.signalAll({&process}, SIGSTOP, ProcessCondition::Stopped, SignalLimit);
  later(frozen, [this, name = process.name] {
    record_.note("wake", name);
    fleet_.signalAll({fleet_.state().find(name)}, SIGCONT, ProcessCondition::Running, SignalLimit);
    affected_.erase(name);
    return true;
  });
}

void FailureRun::killAllCores() {
  const base::Duration down = between(200, 3'000);
  for (FleetProcess* core : fleet_.ofRole(ProcessRole::Core)) {
    if (!affected_.contains(core->name)) {
      kill(*core, down);
    }
  }
}

bool FailureRun::sendFault(const FleetProcess& worker, const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = "/testbed/faults";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body;
  return fetchOnce(worker.http_address, std::move(request), FaultAnswerLimit).has_value();
}

void FailureRun::orderFault() {
  FleetProcess* worker = pick(ProcessRole::Worker);
  if (worker == nullptr) {
    return;
  }
  const std::string mode = WorkerFaultModes[random_.below(WorkerFaultModes.size())];
  const std::string body = R"({"mode":")" + mode + R"(","after_pieces":)" +
                           std::to_string(random_.below(12)) + R"(,"count":)" +
                           std::to_string(1 + random_.below(6)) + R"(,"delay_ms":)" +
                           std::to_string(random_.below(12'000)) + "}";
  record_.note("fault", worker->name, body);
  affected_.insert(worker->name);
  if (mode == "crash") {
    testbed::processEnds().expectExit(Fleet::identityOf(*worker));
  }
  sendFault(*worker, body);
  later(between(1'000, 5'000), [this, name = worker->name, mode] {
    FleetProcess* faulty = fleet_.state().find(name);
    if (mode == "crash" || mode == "stall") {
      // A stalled request would occupy its slot until its caller disconnects.
      fleet_.signalAll({faulty}, SIGKILL, ProcessCondition::Exited, SignalLimit);
      return startAgain(name);
    }
    sendFault(*faulty, R"({"mode":"none"})");
    affected_.erase(name);
    return true;
  });
}

void FailureRun::drainWorker() {
  FleetProcess* worker = pick(ProcessRole::Worker);
  if (worker == nullptr || !sendFault(*worker, R"({"mode":"drain"})")) {
    return;
  }
  record_.note(order_event::Draining, worker->name);
  affected_.insert(worker->name);
  // Observations of a worker are kept for one instance. A drained worker is therefore restarted as
  // a new process, after the platform has removed it from its list.
  later(between(4'000, 8'000), [this, name = worker->name] {
    FleetProcess* drained = fleet_.state().find(name);
    fleet_.signalAll({drained}, SIGKILL, ProcessCondition::Exited, SignalLimit);
    record_.note("kill", name, "after its drain");
    later(std::chrono::seconds(12), [this, name] { return startAgain(name); });
    return true;
  });
}

void FailureRun::evacuateZone() {
  std::set<std::string> zones;
  for (const FleetProcess* worker : fleet_.ofRole(ProcessRole::Worker)) {
    zones.insert(worker->zone);
  }
  const auto chosen = std::next(zones.begin(), static_cast<long>(random_.below(zones.size())));
  if (affected_.contains("zones")) {
    return;
  }
  affected_.insert("zones");
  record_.note("evacuate", *chosen);
  const auto done = std::make_shared<std::atomic<bool>>(false);
  OperatorOrders orders(nodes(), fleet_.state().operator_key, nextOperator(), record_);
  const base::Duration evacuated_for = between(6'000, 12'000);
  operators_.emplace_back([orders, zone = *chosen, evacuated_for, done]() mutable {
    if (orders.evacuate(zone)) {
      std::this_thread::sleep_for(evacuated_for);
    }
    orders.restore(zone);
    *done = true;
  });
  later(evacuated_for, [this, done] {
    if (*done) {
      affected_.erase("zones");
    }
    return done->load();
  });
}

void FailureRun::revokeKey() {
  const std::string tenant = tenants_[random_.below(tenants_.size())];
  if (affected_.contains("keys")) {
    return;
  }
  affected_.insert("keys");
  record_.note("revoke", tenant);
  const auto done = std::make_shared<std::atomic<bool>>(false);
  OperatorOrders orders(nodes(), fleet_.state().operator_key, nextOperator(), record_);
  const base::Duration revoked = between(3'000, 6'000);
  operators_.emplace_back([orders, tenant, revoked, done]() mutable {
    if (orders.revokeKey(tenant)) {
      std::this_thread::sleep_for(revoked);
    }
    orders.addKey(tenant);
    *done = true;
  });
  later(revoked, [this, done] {
    if (*done) {
      affected_.erase("keys");
    }
    return done->load();
  });
}

std::vector<base::NodeAddress> FailureRun::nodes() {
  std::vector<base::NodeAddress> addresses;
  for (const ProcessRole role : {ProcessRole::Core, ProcessRole::Front}) {
    for (const FleetProcess* process : fleet_.ofRole(role)) {
      addresses.push_back(process->http_address);
    }
  }
  return addresses;
}

std::string FailureRun::nextOperator() {
  return name_ + "-" + std::to_string(++orders_);
}

}  // namespace switchsaddle::testbed_commands
