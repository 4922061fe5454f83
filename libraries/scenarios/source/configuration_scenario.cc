#include "switchsaddle/scenarios/configuration_scenario.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "random_duration.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::scenarios {

namespace {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Interval between checks of each front. */
constexpr base::Duration PollInterval = milliseconds(5);
/** Interval between streams opened at each front. */
constexpr base::Duration StreamInterval = milliseconds(20);
/** Interval between an operator's reads of the configuration. */
constexpr base::Duration ReadInterval = milliseconds(25);
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;

/** The version in the body of a configuration read, or std::nullopt if it has none. */
std::optional<std::uint64_t> versionIn(const std::string& body) {
  std::vector<configuration::Fault> faults;
  const auto parsed = configuration::parseJson(body, {}, "", faults);
  const configuration::JsonValue* version = parsed ? parsed->find("version") : nullptr;
  return version == nullptr ? std::nullopt
                            : std::optional(static_cast<std::uint64_t>(version->integer));
}

}  // namespace

ConfigurationScenario::ConfigurationScenario(ConfigurationScenarioOptions options)
    : options_(options),
      fleet_(options.seed, options.size, options.core_faults, options.front_faults) {}

ConfigurationScenario::~ConfigurationScenario() = default;

void ConfigurationScenario::addViolation(std::string what) {
  result_.violations.push_back(
      std::to_string(base::toMilliseconds(fleet_.world.now().time_since_epoch())) +
      " ms: " + std::move(what));
}

void ConfigurationScenario::schedule(base::Duration delay, std::function<void()> action) {
  fleet_.world.schedule(delay, [this, action = std::move(action)] {
    if (!faults_ended_) {
      action();
    }
  });
}

void ConfigurationScenario::prepare() {
  fleet_.network.conditions.loss = options_.message_loss;
  fleet_.network.conditions.duplication = options_.message_duplication;
  fleet_.network.conditions.maximum_delay = options_.message_delay;
  fleet_.addModelWorker();
  for (const auto& front : fleet_.fronts) {
    front->setDispatchListener([this](const Dispatch& dispatch) { onDispatch(dispatch); });
    front->setAnswerListener([this](const CallerAnswer& answer) { onAnswer(answer); });
  }
  prepareOperators();
}

void ConfigurationScenario::prepareOperators() {
  std::vector<base::NodeAddress> front_addresses;
  for (const auto& front : fleet_.fronts) {
    front_addresses.push_back(front->address());
  }
  for (const auto& one : fleet_.operators) {
    one->addNodes(front_addresses);
    one->setChangedEntries(ChangedEntries::EvacuationsAndKeys);
    one->setBegunListener([this](OperatorChange& change) { onChangeBegun(change); });
    one->setAcknowledgedListener([this](const OperatorChange& change) {
      onChangeAcknowledged(change);
      poll();
    });
    one->setSentListener([this](const base::NodeAddress& node) { injectProposerFault(node); });
  }
}

void ConfigurationScenario::onChangeBegun(OperatorChange& change) {
  change.in_force_before = acknowledged_version_;
  if (change.removes && change.path.starts_with("keys/")) {
    keys_being_removed_.insert(secretOfKey(change.path));
  }
}

void ConfigurationScenario::onChangeAcknowledged(const OperatorChange& change) {
  acknowledged_version_ = std::max(acknowledged_version_, change.version);
  ++result_.acknowledged;
  if (!change.path.starts_with("keys/")) {
    return;
  }
  const std::string secret = secretOfKey(change.path);
  if (change.removes) {
    std::erase(keys_in_force_, secret);
    revoked_keys_.push_back(secret);
  } else {
    keys_in_force_.push_back(secret);
  }
}

void ConfigurationScenario::openStreams() {
  base::RandomSource& random = fleet_.world.random();
  for (const auto& front : fleet_.fronts) {
    std::string key;
    const bool revoked = !revoked_keys_.empty() && random.chance(0.5);
    if (revoked) {
      // One of the newest three, which a front with an older version may still have.
      const std::size_t recent = std::min<std::size_t>(revoked_keys_.size(), 3);
      key = revoked_keys_[revoked_keys_.size() - 1 - random.below(recent)];
    } else if (!keys_in_force_.empty()) {
      key = keys_in_force_[random.below(keys_in_force_.size())];
    }
    if (!key.empty()) {
      front->openStream(key);
    }
  }
}

void ConfigurationScenario::readFromRandomNode() {
  if (fleet_.operators.empty()) {
    return;
  }
  std::vector<base::NodeAddress> nodes;
  for (const auto& core : fleet_.cores) {
    nodes.push_back(core->address());
  }
  for (const auto& front : fleet_.fronts) {
    nodes.push_back(front->address());
  }
  const base::NodeAddress node = nodes[fleet_.world.random().below(nodes.size())];
  fleet_.operators.front()->request(node, "GET", "/v1/configuration", {},
                                    [this, node, acknowledged_before = acknowledged_version_](
                                        const std::optional<wire::ControlReply>& reply) {
                                      if (reply) {
                                        onRead(node, acknowledged_before, *reply);
                                      }
                                    });
}

void ConfigurationScenario::onRead(const base::NodeAddress& node, std::uint64_t acknowledged_before,
                                   const wire::ControlReply& reply) {
  if (reply.status == StatusUnavailable) {
    ++result_.reads_refused;
    return;
  }
  const std::optional<std::uint64_t> version = versionIn(reply.body);
  if (reply.status != StatusOk || !version) {
    addViolation(node.toString() + " answers a read with " + std::to_string(reply.status) + " " +
                 reply.body);
    return;
  }
  ++result_.reads;
  if (*version < acknowledged_before) {
    addViolation(node.toString() + " answers a read with version " + std::to_string(*version) +
                 " although " + std::to_string(acknowledged_before) + " was acknowledged before");
  }
}

void ConfigurationScenario::onDispatch(const Dispatch& dispatch) {
  ++result_.dispatches;
  checkVersionAtFront(dispatch.front, dispatch.version);
  if (std::find(revoked_keys_.begin(), revoked_keys_.end(), dispatch.key) != revoked_keys_.end()) {
    addViolation(dispatch.front.toString() + " dispatches with the key " + dispatch.key +
                 " although its removal was acknowledged");
  }
}

void ConfigurationScenario::onAnswer(const CallerAnswer& answer) {
  if (answer.status == base::describe(ResultCode::Ok).http_status) {
    ++result_.streams;
  } else if (answer.status == base::describe(ResultCode::UnknownKey).http_status) {
    ++result_.unknown_keys;
    // Callers use a key only after its addition was acknowledged.
    if (!keys_being_removed_.contains(answer.key)) {
      addViolation("the key " + answer.key + " is refused although its addition was acknowledged");
    }
  } else {
    ++result_.refusals;
  }
}

void ConfigurationScenario::checkVersionAtFront(const base::NodeAddress& front,
                                                std::uint64_t version) {
  if (version < acknowledged_version_) {
    addViolation(front.toString() + " dispatches with version " + std::to_string(version) +
                 " although " + std::to_string(acknowledged_version_) + " was acknowledged");
  }
}

void ConfigurationScenario::poll() {
  for (const auto& front : fleet_.fronts) {
    if (const std::optional<std::uint64_t> version = front->dispatchVersion()) {
      checkVersionAtFront(front->address(), *version);
    }
  }
}

bool ConfigurationScenario::runUntil(const std::function<bool()>& condition, base::Duration limit) {
  const base::TimePoint end = fleet_.world.now() + limit;
  while (!condition()) {
    if (fleet_.world.now() >= end) {
      return false;
    }
    fleet_.world.runFor(PollInterval);
    poll();
    if (fleet_.world.now() >= next_streams_) {
      next_streams_ = fleet_.world.now() + StreamInterval;
      openStreams();
    }
    if (options_.reads && fleet_.world.now() >= next_read_) {
      next_read_ = fleet_.world.now() + ReadInterval;
      readFromRandomNode();
    }
  }
  return true;
}

ConfigurationScenarioResult ConfigurationScenario::run() {
  prepare();
  if (!runUntil([this] { return fleet_.allServe(0); }, seconds(12))) {
    addViolation("not every front served within 12 s of the start");
    return result_;
  }
  if (!fleet_.commitChange(firstChange(), seconds(12))) {
    addViolation("the first configuration was not acknowledged within 12 s");
    return result_;
  }
  for (const auto& one : fleet_.operators) {
    one->start();
  }
  if (options_.disk_faults) {
    disk_faults_ = std::make_unique<DiskFaults>(
        fleet_, [this](auto delay, auto action) { schedule(delay, std::move(action)); });
  }
  runUnderFaults();
  recover();
  checkChanges();
  checkFinalDocument();
  result_.events = fleet_.world.eventsRun();
  return result_;
}

void ConfigurationScenario::runUnderFaults() {
  const base::TimePoint begin = fleet_.world.now();
  const base::TimePoint end = begin + options_.fault_time;
  base::TimePoint next_fault = begin;
  runUntil(
      [&] {
        if (fleet_.world.now() >= next_fault) {
          next_fault = fleet_.world.now() + randomDuration(fleet_.world.random(), milliseconds(50),
                                                           options_.fault_pause);
          injectFault();
        }
        const bool enough = options_.changes != 0 && result_.acknowledged >= options_.changes;
        return enough || fleet_.world.now() >= end;
      },
      options_.fault_time + seconds(1));
  result_.fault_time = fleet_.world.now() - begin;
}

void ConfigurationScenario::healAll() {
  faults_ended_ = true;
  if (disk_faults_) {
    result_.disk_faults = disk_faults_->injected();
    disk_faults_->end();
  }
  fleet_.network.healAll();
  fleet_.network.conditions.loss = 0;
  for (const auto& core : fleet_.cores) {
    if (!core->running()) {
      core->start();
    } else if (core->process().frozen()) {
      core->process().wake();
    }
  }
  for (const auto& front : fleet_.fronts) {
    if (!front->running()) {
      front->start();
    } else if (front->process().frozen()) {
      front->process().wake();
    }
  }
}

void ConfigurationScenario::recover() {
  healAll();
  const base::TimePoint healed = fleet_.world.now();
  for (const auto& one : fleet_.operators) {
    one->finish();
  }
  const bool served =
      runUntil([this] { return fleet_.allServe(acknowledged_version_); }, options_.recovery_limit);
  result_.recovery = fleet_.world.now() - healed;
  if (!served) {
    addViolation("not every front serves within the recovery limit");
  }
  const bool answered = runUntil(
      [this] {
        return std::all_of(fleet_.operators.begin(), fleet_.operators.end(),
                           [](const auto& one) { return one->idle(); });
      },
      options_.recovery_limit);
  if (!answered) {
    addViolation("a change has no final answer within the recovery limit");
  }
}

void ConfigurationScenario::checkChanges() {
  std::map<std::uint64_t, std::string> by_base{{0, "the first configuration"}};
  std::map<std::uint64_t, std::string> by_version{{1, "the first configuration"}};
  std::uint64_t newest = 1;
  for (const auto& one : fleet_.operators) {
    newest = std::max(newest, one->newestVersion());
  }
  for (const auto& one : fleet_.operators) {
    result_.resends += one->resends();
    result_.repetitions += one->repetitions();
    for (const OperatorChange& change : one->changes()) {
      for (const std::string& contradiction : change.contradictions) {
        addViolation(change.change_id + ": " + contradiction);
      }
      checkConflict(change, newest);
      if (!change.committed) {
        continue;
      }
      if (change.version != change.base_version + 1) {
        addViolation(change.change_id + " was committed on another version than its base version");
      }
      if (!by_base.emplace(change.base_version, change.change_id).second) {
        addViolation(change.change_id + " and " + by_base[change.base_version] +
                     " were both committed on version " + std::to_string(change.base_version));
      }
      by_version.emplace(change.version, change.change_id);
    }
  }
  std::uint64_t expected = 1;
  for (const auto& [version, change_id] : by_version) {
    if (version != expected++) {
      addViolation("no operator received an answer about committed version " +
                   std::to_string(expected - 1) + ";" + describeRefusedChanges(expected - 2));
      break;
    }
  }
}

std::string ConfigurationScenario::describeRefusedChanges(std::uint64_t base_version) const {
  std::string refused;
  for (const auto& one : fleet_.operators) {
    for (const OperatorChange& change : one->changes()) {
      if (change.base_version == base_version && change.outcome != ChangeOutcome::Acknowledged) {
        refused += " " + change.change_id + " was answered that version " +
                   std::to_string(change.version) + " is in force";
      }
    }
  }
  return refused;
}

void ConfigurationScenario::checkConflict(const OperatorChange& change, std::uint64_t newest) {
  if (change.outcome != ChangeOutcome::Conflict) {
    return;
  }
  ++result_.conflicts;
  const bool was_in_force = change.version > change.base_version && change.version <= newest &&
                            change.version >= change.in_force_before;
  if (!was_in_force) {
    addViolation(change.change_id + " was answered that version " + std::to_string(change.version) +
                 " is in force, which it was not at that time");
  }
}

void ConfigurationScenario::checkFinalDocument() {
  std::map<std::uint64_t, const OperatorChange*> committed;
  for (const auto& one : fleet_.operators) {
    for (const OperatorChange& change : one->changes()) {
      if (change.committed) {
        committed[change.version] = &change;
      }
    }
  }
  std::set<std::string> expected{"shapes/chat", "tenants/editors", "share/root", "routes/large",
                                 CallerKey};
  for (const auto& [version, change] : committed) {
    if (change->removes) {
      expected.erase(change->path);
    } else {
      expected.insert(change->path);
    }
  }
  std::optional<std::string> body;
  const bool read = runUntil(
      [&] {
        if (!body) {
          fleet_.operators.front()->readConfiguration(
              fleet_.cores[fleet_.world.random().below(fleet_.cores.size())]->address(),
              [&body](std::optional<std::string> answer) { body = std::move(answer); });
          fleet_.world.runFor(seconds(1));
        }
        return body.has_value();
      },
      options_.recovery_limit);
  if (!read) {
    addViolation("no read of the configuration was answered within the recovery limit");
    return;
  }
  std::vector<configuration::Fault> faults;
  const auto parsed = configuration::parseJson(*body, {}, "", faults);
  const configuration::JsonValue* document = parsed ? parsed->find("document") : nullptr;
  if (document == nullptr) {
    addViolation("the configuration that was read has no document");
    return;
  }
  const std::set<std::string> actual(document->names.begin(), document->names.end());
  if (actual != expected) {
    addViolation("the configuration differs from the result of the acknowledged changes");
  }
}

}  // namespace switchsaddle::scenarios
