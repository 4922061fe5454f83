#include "explored_fleet.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::scenarios {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seed = 1;
/** Equal for all messages, so that the undisturbed run delivers them in the order of sending. */
constexpr base::Duration MessageDelay = std::chrono::microseconds(500);
constexpr base::Duration RestartDelay = seconds(1);
constexpr base::Duration FreezeDuration = seconds(2);
constexpr base::Duration CheckInterval = milliseconds(20);
/** Within this time after all machines run, changes of the acceptor set must have ended. */
constexpr base::Duration RecoveryLimit = seconds(30);
constexpr base::Duration AnswerLimit = seconds(30);

std::uint64_t versionOf(const std::string& body) {
  std::vector<configuration::Fault> faults;
  const auto document = configuration::parseJson(body, {}, "", faults);
  return document ? static_cast<std::uint64_t>(document->integerOf("version")) : 0;
}

}  // namespace

ExploredFleet::ExploredFleet(FleetSize size, core::CoreFaults faults) : fleet_(Seed, size, faults) {
  fleet_.network.conditions.minimum_delay = MessageDelay;
  fleet_.network.conditions.maximum_delay = MessageDelay;
}

SimulatedCore* ExploredFleet::find(const base::NodeAddress& machine) {
  const auto found = std::ranges::find_if(
      fleet_.cores, [&machine](const auto& core) { return core->address() == machine; });
  return found == fleet_.cores.end() ? nullptr : found->get();
}

bool ExploredFleet::contains(const base::NodeAddress& address) const {
  return includes_operators_ || std::ranges::any_of(fleet_.cores, [&address](const auto& core) {
           return core->address() == address;
         });
}

void ExploredFleet::kill(const base::NodeAddress& machine) {
  crash(machine, CrashKind::Kill);
}

void ExploredFleet::wipe(const base::NodeAddress& machine) {
  crash(machine, CrashKind::Wipe);
}

void ExploredFleet::crash(const base::NodeAddress& machine, CrashKind kind) {
  SimulatedCore* core = find(machine);
  if (core == nullptr || !core->running()) {
    return;
  }
  core->kill(kind);
  core->forgetInitialCores();
  fleet_.world.schedule(RestartDelay, [core] {
    if (!core->running()) {
      core->start();
    }
  });
}

void ExploredFleet::freeze(const base::NodeAddress& machine) {
  SimulatedCore* core = find(machine);
  if (core == nullptr || !core->running() || core->process().frozen()) {
    return;
  }
  core->process().freeze();
  fleet_.world.schedule(FreezeDuration, [core] {
    if (core->process().frozen()) {
      core->process().wake();
    }
  });
}

void ExploredFleet::startOperators() {
  for (const auto& simulated : fleet_.operators) {
    simulated->setAcknowledgedListener(
        [this](const OperatorChange& change) { onAcknowledged(change); });
    simulated->start();
  }
}

void ExploredFleet::finishOperators() {
  for (const auto& simulated : fleet_.operators) {
    simulated->finish();
  }
}

bool ExploredFleet::operatorsIdle() const {
  return std::ranges::all_of(fleet_.operators,
                             [](const auto& simulated) { return simulated->idle(); });
}

void ExploredFleet::onAcknowledged(const OperatorChange& change) {
  const auto [found, is_new] = acknowledged_.try_emplace(change.version, change.change_id);
  if (!is_new && found->second != change.change_id) {
    violate("version " + std::to_string(change.version) + " was acknowledged for " + found->second +
            " and for " + change.change_id);
  }
}

void ExploredFleet::violate(const std::string& text) {
  if (violation_.empty()) {
    violation_ = text;
  }
}

void ExploredFleet::runChecked(base::Duration duration) {
  const base::TimePoint end = fleet_.world.now() + duration;
  while (fleet_.world.now() < end && violation_.empty()) {
    fleet_.world.runFor(std::min<base::Duration>(CheckInterval, end - fleet_.world.now()));
    checkLease();
  }
}

void ExploredFleet::checkLease() {
  std::vector<std::string> holders;
  for (const auto& core : fleet_.cores) {
    if (!core->running()) {
      continue;
    }
    for (const core::LeaseStatus& status : core->node().status().leases) {
      if (status.held && status.name == core::CoreMembershipLease) {
        holders.push_back(core->address().toString());
      }
    }
  }
  if (holders.size() > 1) {
    violate("the lease " + std::string(core::CoreMembershipLease) + " is held by " + holders[0] +
            " and " + holders[1]);
  }
}

bool ExploredFleet::anyJointSet() const {
  return std::ranges::any_of(fleet_.cores, [](const auto& core) {
    return core->running() && !core->node().acceptor().acceptorSet().previous.empty();
  });
}

bool ExploredFleet::setIsPending() const {
  return std::ranges::any_of(fleet_.cores, [](const auto& core) {
    if (!core->running()) {
      return true;
    }
    const wire::AcceptorSet& set = core->node().acceptor().acceptorSet();
    return set.epoch == 0 || !set.previous.empty();
  });
}

void ExploredFleet::checkRecovery() {
  const bool ended = fleet_.world.runUntil(
      [this] { return !setIsPending() && fleet_.holderOf(core::CoreMembershipLease) != nullptr; },
      RecoveryLimit);
  if (!ended) {
    violate("no acceptor set, or a joint one, long after all machines run");
    return;
  }
  if (!fleet_.world.runUntil([this] { return operatorsIdle(); }, AnswerLimit)) {
    violate("a change was never answered");
    return;
  }
  checkAnswers();
  checkReads();
}

void ExploredFleet::checkAnswers() {
  for (const auto& simulated : fleet_.operators) {
    for (const OperatorChange& change : simulated->changes()) {
      if (!change.contradictions.empty()) {
        violate(change.change_id + ": " + change.contradictions.front());
      }
    }
  }
}

void ExploredFleet::checkReads() {
  const std::uint64_t newest = acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
  for (const auto& core : fleet_.cores) {
    bool answered = false;
    std::optional<std::string> body;
    fleet_.operators.front()->readConfiguration(core->address(),
                                                [&](std::optional<std::string> reply) {
                                                  answered = true;
                                                  body = std::move(reply);
                                                });
    fleet_.world.runUntil([&answered] { return answered; }, AnswerLimit);
    if (body && versionOf(*body) < newest) {
      violate("version " + std::to_string(versionOf(*body)) + " was read at " +
              core->address().toString() + " after version " + std::to_string(newest) +
              " had been acknowledged");
    }
  }
}

}  // namespace switchsaddle::scenarios
