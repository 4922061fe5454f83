#include "switchsaddle/scenarios/fake_operator.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::scenarios {

namespace {

using base::ResultCode;

constexpr base::Duration CallTimeout = std::chrono::seconds(5);
constexpr std::uint64_t LongestPauseMilliseconds = 400;
constexpr double RemovalShare = 0.3;
/** Probability that an earlier change is resent instead of a new one. */
constexpr double RepetitionShare = 0.15;
/** Share of changes to keys, if keys are changed at all. */
constexpr double KeyShare = 0.5;

bool hasCode(const configuration::JsonValue& body, ResultCode code) {
  const configuration::JsonValue* error = body.find("error");
  return error != nullptr && error->integerOf("code") == static_cast<std::int64_t>(code);
}

std::string keyEntry(const std::string& path) {
  return R"({"sha256":")" + configuration::sha256Hex(secretOfKey(path)) +
         R"(","tenant":"editors"})";
}

}  // namespace

std::string secretOfKey(const std::string& path) {
  return "secret of " + path;
}

FakeOperator::FakeOperator(simulation::World& world, simulation::Network& network,
                           base::NodeAddress address, std::string name,
                           std::vector<base::NodeAddress> nodes)
    : address_(std::move(address)),
      name_(std::move(name)),
      nodes_(std::move(nodes)),
      random_(world.random().next()),
      process_(world),
      transport_(network.attach(address_, process_)),
      calls_(process_, *transport_),
      timer_(process_.createTimer([this] {
        if (current_) {
          send();
        } else if (!finishing_) {
          beginChange();
        }
      })) {}

void FakeOperator::start() {
  timer_->enable(std::chrono::milliseconds(random_.below(LongestPauseMilliseconds)));
}

void FakeOperator::addNodes(const std::vector<base::NodeAddress>& nodes) {
  nodes_.insert(nodes_.end(), nodes.begin(), nodes.end());
}

void FakeOperator::beginChange() {
  if (!changes_.empty() && random_.chance(RepetitionShare)) {
    ++repetitions_;
    current_ = random_.below(changes_.size());
    send();
    return;
  }
  OperatorChange change;
  change.change_id = name_ + "-" + std::to_string(changes_.size());
  change.base_version = newest_version_;
  change.removes = !entries_.empty() && random_.chance(RemovalShare);
  if (change.removes) {
    change.path = entries_[random_.below(entries_.size())];
  } else {
    const bool is_key =
        changed_entries_ == ChangedEntries::EvacuationsAndKeys && random_.chance(KeyShare);
    change.path = (is_key ? "keys/" : "evacuations/zone-") + change.change_id;
  }
  if (on_begun_) {
    on_begun_(change);
  }
  current_ = changes_.size();
  changes_.push_back(std::move(change));
  send();
}

std::string FakeOperator::body() const {
  const OperatorChange& change = changes_[*current_];
  const std::string entry = change.path.starts_with("keys/") ? keyEntry(change.path) : "{}";
  const std::string content = change.removes ? R"("remove":[")" + change.path + R"("])"
                                             : R"("set":{")" + change.path + R"(":)" + entry + "}";
  return R"({"change_id":")" + change.change_id + R"(","base_version":)" +
         std::to_string(change.base_version) + "," + content + "}";
}

void FakeOperator::send() {
  timer_->disable();
  const std::uint64_t attempt = ++attempt_;
  wire::ControlRequest request{"POST", "/v1/configuration/changes",
                               std::string("Bearer ") + SimulatedOperatorKey, body()};
  const base::NodeAddress node = nodes_[random_.below(nodes_.size())];
  if (on_sent_) {
    on_sent_(node);
  }
  calls_.call(node, request, CallTimeout,
              [this, attempt](const transport::CallResult& result) { onReply(attempt, result); });
}

void FakeOperator::onReply(std::uint64_t attempt, const transport::CallResult& result) {
  if (attempt != attempt_ || !current_) {
    return;
  }
  if (const auto* reply = result.as<wire::ControlReply>()) {
    handleReply(*reply);
  }
  if (current_) {
    ++resends_;
  }
  timer_->enable(std::chrono::milliseconds(1 + random_.below(LongestPauseMilliseconds)));
}

void FakeOperator::handleReply(const wire::ControlReply& reply) {
  std::vector<configuration::Fault> faults;
  const auto body = configuration::parseJson(reply.body, {}, "", faults);
  if (!body) {
    changes_[*current_].contradictions.push_back("the answer is not valid JSON: " + reply.body);
    return;
  }
  const auto version = static_cast<std::uint64_t>(body->integerOf("version"));
  newest_version_ = std::max(newest_version_, version);
  if (reply.status == base::describe(ResultCode::Ok).http_status) {
    adoptCommitted(version);
    recordFinalAnswer(ChangeOutcome::Acknowledged, version);
  } else if (reply.status == base::describe(ResultCode::CommittedNotYetInForce).http_status) {
    adoptCommitted(version);
  } else if (hasCode(*body, ResultCode::ConfigurationConflict)) {
    recordFinalAnswer(ChangeOutcome::Conflict, version);
  } else if (hasCode(*body, ResultCode::ConfigurationInvalid)) {
    recordFinalAnswer(ChangeOutcome::Invalid, version);
  } else if (hasCode(*body, ResultCode::ChangeIdReused)) {
    changes_[*current_].contradictions.push_back(
        "a resent change was refused because its id was used by another change");
  }
}

void FakeOperator::recordFinalAnswer(ChangeOutcome outcome, std::uint64_t version) {
  OperatorChange& change = changes_[*current_];
  if (change.outcome == ChangeOutcome::Pending) {
    change.version = version;
    finishChange(outcome);
    return;
  }
  if (change.outcome != outcome || change.version != version) {
    change.contradictions.push_back("a resent change got another final answer than before");
  }
  current_.reset();
}

void FakeOperator::adoptCommitted(std::uint64_t version) {
  OperatorChange& change = changes_[*current_];
  if (change.outcome != ChangeOutcome::Pending && change.outcome != ChangeOutcome::Acknowledged) {
    change.contradictions.push_back(
        "an answer says committed after an earlier one refused the change");
    return;
  }
  if (change.committed && change.version != version) {
    change.contradictions.push_back("committed as version " + std::to_string(change.version) +
                                    ", then as " + std::to_string(version) + ", on base version " +
                                    std::to_string(change.base_version));
  }
  change.committed = true;
  change.version = version;
}

void FakeOperator::finishChange(ChangeOutcome outcome) {
  OperatorChange& change = changes_[*current_];
  if (change.committed && outcome != ChangeOutcome::Acknowledged) {
    change.contradictions.push_back(
        "an answer refuses the change after an earlier one said committed");
  }
  change.outcome = outcome;
  current_.reset();
  if (outcome != ChangeOutcome::Acknowledged) {
    return;
  }
  if (change.removes) {
    std::erase(entries_, change.path);
  } else {
    entries_.push_back(change.path);
  }
  if (on_acknowledged_) {
    on_acknowledged_(change);
  }
}

void FakeOperator::request(const base::NodeAddress& core, const std::string& method,
                           const std::string& target, const std::string& request_body,
                           std::function<void(std::optional<wire::ControlReply>)> callback) {
  wire::ControlRequest message{method, target, std::string("Bearer ") + SimulatedOperatorKey,
                               request_body};
  calls_.call(core, message, CallTimeout,
              [callback = std::move(callback)](const transport::CallResult& result) {
                const auto* reply = result.as<wire::ControlReply>();
                callback(reply == nullptr ? std::nullopt : std::optional(*reply));
              });
}

void FakeOperator::readConfiguration(const base::NodeAddress& core,
                                     std::function<void(std::optional<std::string>)> callback) {
  request(core, "GET", "/v1/configuration", {},
          [callback = std::move(callback)](const std::optional<wire::ControlReply>& reply) {
            const bool answered = reply && reply->status == 200;
            callback(answered ? std::optional(reply->body) : std::nullopt);
          });
}

}  // namespace switchsaddle::scenarios
