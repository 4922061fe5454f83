#include "failure_run.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>

#include "http_probe.h"
#include "operator_orders.h"
#include "switchsaddle/base/error.h"
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
constexpr base::Duration RetryUndo = milliseconds(500);
/** A whole fleet is to serve again about twelve seconds after a restart. */
constexpr base::Duration HealLimit = std::chrono::seconds(12);
constexpr base::Duration FaultAnswerLimit = std::chrono::seconds(1);
/** Frozen cores sleep longer than every session and lease. */
constexpr base::Duration LongFreeze = std::chrono::seconds(20);
constexpr std::array Faults{"crash", "stall",  "late",   "crossed",    "cut",
                            "gap",   "repeat", "refuse", "change-run", "silent-close"};
constexpr std::array Kinds{
    "front-kill",  "front-freeze",     "front-stop",     "core-kill",   "core-freeze",
    "core-stop",   "core-freeze-long", "cores-kill-all", "worker-kill", "worker-freeze",
    "worker-stop", "worker-fault",     "worker-drain",   "evacuate",    "revoke"};

}  // namespace

std::vector<std::string> failureKinds() {
  return {Kinds.begin(), Kinds.end()};
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

void FailureRun::disturb(base::Duration duration) {
  const Clock::time_point end = Clock::now() + duration;
  Clock::time_point next = Clock::now() + between(500, 1'500);
  while (Clock::now() < end) {
    runDueUndos(false);
    if (Clock::now() >= next) {
      disturbOnce();
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
      later(RetryUndo, undo);
      if (all) {
        std::this_thread::sleep_for(RetryUndo);
      }
    }
  }
}

void FailureRun::heal() {
  runDueUndos(true);
  for (std::thread& thread : operators_) {
    thread.join();
  }
  operators_.clear();
  fleet_.waitReady(fleet_.named({"all"}), HealLimit);
  record_.note("healed", "all");
}

void FailureRun::disturbOnce() {
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
      freeze(*process, LongFreeze);
    } else {
      const int longest_ms = role == ProcessRole::Worker ? 1'500 : 6'000;
      freeze(*process, between(200, longest_ms));
    }
  }
}

bool FailureRun::mayDisturb(const FleetProcess& process) const {
  if (disturbed_.contains(process.name)) {
    return false;
  }
  std::size_t all = 0;
  std::size_t taken = 0;
  // Workers of one pool have one prefix in their names.
  const std::string pool = process.name.substr(0, process.name.rfind('-'));
  for (FleetProcess* other : fleet_.ofRole(process.role)) {
    const bool same = process.role != ProcessRole::Worker ||
                      other->name.substr(0, other->name.rfind('-')) == pool;
    all += same ? 1 : 0;
    taken += same && disturbed_.contains(other->name) ? 1 : 0;
  }
  const std::size_t most = process.role == ProcessRole::Front ? all - 1 : (all - 1) / 2;
  return taken < most;
}

FleetProcess* FailureRun::pick(ProcessRole role) {
  std::vector<FleetProcess*> candidates = fleet_.ofRole(role);
  std::erase_if(candidates, [this](const FleetProcess* process) { return !mayDisturb(*process); });
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
  disturbed_.erase(name);
  return true;
}

void FailureRun::kill(FleetProcess& process, base::Duration down) {
  record_.note("kill", process.name, std::to_string(base::toMilliseconds(down)) + " ms");
  disturbed_.insert(process.name);
  fleet_.signalAll({&process}, SIGKILL, ProcessCondition::Exited, SignalLimit);
  noteLeaving(process, order_event::Vanished);
  later(down, [this, name = process.name] { return startAgain(name); });
}

void FailureRun::stop(FleetProcess& process, base::Duration down) {
  record_.note("stop", process.name, std::to_string(base::toMilliseconds(down)) + " ms");
  disturbed_.insert(process.name);
  testbed::sendSignal(Fleet::identityOf(process), SIGTERM);
  noteLeaving(process, order_event::Draining);
  later(down, [this, name = process.name] { return startAgain(name); });
}

void FailureRun::freeze(FleetProcess& process, base::Duration frozen) {
  record_.note("freeze", process.name, std::to_string(base::toMilliseconds(frozen)) + " ms");
  disturbed_.insert(process.name);
  fleet_.signalAll({&process}, SIGSTOP, ProcessCondition::Stopped, SignalLimit);
  later(frozen, [this, name = process.name] {
    record_.note("wake", name);
    fleet_.signalAll({fleet_.state().find(name)}, SIGCONT, ProcessCondition::Running, SignalLimit);
    disturbed_.erase(name);
    return true;
  });
}

void FailureRun::killAllCores() {
  const base::Duration down = between(200, 3'000);
  for (FleetProcess* core : fleet_.ofRole(ProcessRole::Core)) {
    if (!disturbed_.contains(core->name)) {
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
  const std::string mode = Faults[random_.below(Faults.size())];
  const std::string body = R"({"mode":")" + mode + R"(","after_pieces":)" +
                           std::to_string(random_.below(12)) + R"(,"count":)" +
                           std::to_string(1 + random_.below(6)) + R"(,"delay_ms":)" +
                           std::to_string(random_.below(12'000)) + "}";
  record_.note("fault", worker->name, body);
  disturbed_.insert(worker->name);
  sendFault(*worker, body);
  later(between(1'000, 5'000), [this, name = worker->name, mode] {
    FleetProcess* struck = fleet_.state().find(name);
    if (mode == "crash" || mode == "stall") {
      // What stalled would hold its slots for as long as its callers wait.
      fleet_.signalAll({struck}, SIGKILL, ProcessCondition::Exited, SignalLimit);
      return startAgain(name);
    }
    sendFault(*struck, R"({"mode":"none"})");
    disturbed_.erase(name);
    return true;
  });
}

void FailureRun::drainWorker() {
  FleetProcess* worker = pick(ProcessRole::Worker);
  if (worker == nullptr || !sendFault(*worker, R"({"mode":"drain"})")) {
    return;
  }
  record_.note(order_event::Draining, worker->name);
  disturbed_.insert(worker->name);
  // Observations stay for one instance, so a worker that drained comes back as another process
  // after the platform has dropped it.
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
  if (disturbed_.contains("zones")) {
    return;
  }
  disturbed_.insert("zones");
  record_.note("evacuate", *chosen);
  const auto done = std::make_shared<std::atomic<bool>>(false);
  OperatorOrders orders(nodes(), fleet_.state().operator_key, nextOperator(), record_);
  const base::Duration empty = between(6'000, 12'000);
  operators_.emplace_back([orders, zone = *chosen, empty, done]() mutable {
    if (orders.evacuate(zone)) {
      std::this_thread::sleep_for(empty);
    }
    orders.restore(zone);
    *done = true;
  });
  later(empty, [this, done] {
    if (*done) {
      disturbed_.erase("zones");
    }
    return done->load();
  });
}

void FailureRun::revokeKey() {
  const std::string tenant = tenants_[random_.below(tenants_.size())];
  if (disturbed_.contains("keys")) {
    return;
  }
  disturbed_.insert("keys");
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
      disturbed_.erase("keys");
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
