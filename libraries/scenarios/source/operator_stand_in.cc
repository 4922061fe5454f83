#include "switchsaddle/scenarios/operator_stand_in.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::scenarios {

namespace {

using base::ResultCode;

constexpr base::Duration CallTimeout = std::chrono::seconds(5);
constexpr std::uint64_t LongestPauseMilliseconds = 400;
constexpr double RemovalShare = 0.3;

bool hasCode(const configuration::JsonValue& body, ResultCode code) {
  const configuration::JsonValue* error = body.find("error");
  return error != nullptr && error->integerOf("code") == static_cast<std::int64_t>(code);
}

}  // namespace

OperatorStandIn::OperatorStandIn(simulation::World& world, simulation::Network& network,
                                 base::NodeAddress address, std::string name,
                                 std::vector<base::NodeAddress> cores)
    : world_(world),
      address_(std::move(address)),
      name_(std::move(name)),
      cores_(std::move(cores)),
      random_(world.random().next()),
      process_(world),
      transport_(network.attach(address_, process_)),
      calls_(process_, *transport_),
      timer_(process_.createTimer([this] {
        if (present_) {
          send();
        } else if (!finishing_) {
          beginChange();
        }
      })) {}

void OperatorStandIn::start() {
  timer_->enable(std::chrono::milliseconds(random_.below(LongestPauseMilliseconds)));
}

void OperatorStandIn::beginChange() {
  OperatorChange change;
  change.change_id = name_ + "-" + std::to_string(changes_.size());
  change.base_version = newest_version_;
  change.removes = !evacuated_.empty() && random_.chance(RemovalShare);
  change.zone =
      change.removes ? evacuated_[random_.below(evacuated_.size())] : "zone-" + change.change_id;
  present_ = changes_.size();
  changes_.push_back(std::move(change));
  send();
}

std::string OperatorStandIn::body() const {
  const OperatorChange& change = changes_[*present_];
  const std::string path = "evacuations/" + change.zone;
  const std::string content =
      change.removes ? R"("remove":[")" + path + R"("])" : R"("set":{")" + path + R"(":{}})";
  return R"({"change_id":")" + change.change_id + R"(","base_version":)" +
         std::to_string(change.base_version) + "," + content + "}";
}

void OperatorStandIn::send() {
  timer_->disable();
  const std::uint64_t attempt = ++attempt_;
  wire::ControlRequest request{"POST", "/v1/configuration/changes",
                               std::string("Bearer ") + SimulatedOperatorKey, body()};
  calls_.call(cores_[random_.below(cores_.size())], request, CallTimeout,
              [this, attempt](const transport::CallResult& result) { onReply(attempt, result); });
}

void OperatorStandIn::onReply(std::uint64_t attempt, const transport::CallResult& result) {
  if (attempt != attempt_ || !present_) {
    return;
  }
  if (const auto* reply = result.as<wire::ControlReply>()) {
    take(*reply);
  }
  if (present_) {
    ++resends_;
  }
  timer_->enable(std::chrono::milliseconds(1 + random_.below(LongestPauseMilliseconds)));
}

void OperatorStandIn::take(const wire::ControlReply& reply) {
  std::vector<configuration::Fault> faults;
  const auto body = configuration::parseJson(reply.body, {}, "", faults);
  if (!body) {
    changes_[*present_].contradictions.push_back("unreadable answer: " + reply.body);
    return;
  }
  const auto version = static_cast<std::uint64_t>(body->integerOf("version"));
  newest_version_ = std::max(newest_version_, version);
  if (reply.status == base::describe(ResultCode::Ok).http_status) {
    takeCommitted(version);
    end(ChangeFate::Acknowledged);
  } else if (reply.status == base::describe(ResultCode::CommittedNotYetInForce).http_status) {
    takeCommitted(version);
  } else if (hasCode(*body, ResultCode::ConfigurationConflict)) {
    end(ChangeFate::Conflict);
  } else if (hasCode(*body, ResultCode::ConfigurationInvalid)) {
    end(ChangeFate::Invalid);
  } else if (hasCode(*body, ResultCode::ChangeIdReused)) {
    changes_[*present_].contradictions.push_back("a resend was refused as another change");
  }
}

void OperatorStandIn::takeCommitted(std::uint64_t version) {
  OperatorChange& change = changes_[*present_];
  if (change.committed && change.version != version) {
    change.contradictions.push_back("committed as two versions");
  }
  change.committed = true;
  change.version = version;
}

void OperatorStandIn::end(ChangeFate fate) {
  OperatorChange& change = changes_[*present_];
  if (change.committed && fate != ChangeFate::Acknowledged) {
    change.contradictions.push_back("refused after it was called committed");
  }
  change.fate = fate;
  present_.reset();
  if (fate != ChangeFate::Acknowledged) {
    return;
  }
  if (change.removes) {
    std::erase(evacuated_, change.zone);
  } else {
    evacuated_.push_back(change.zone);
  }
  if (listener_) {
    listener_(change);
  }
}

void OperatorStandIn::request(const base::NodeAddress& core, const std::string& method,
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

void OperatorStandIn::readConfiguration(const base::NodeAddress& core,
                                        std::function<void(std::optional<std::string>)> callback) {
  request(core, "GET", "/v1/configuration", {},
          [callback = std::move(callback)](const std::optional<wire::ControlReply>& reply) {
            const bool answered = reply && reply->status == 200;
            callback(answered ? std::optional(reply->body) : std::nullopt);
          });
}

}  // namespace switchsaddle::scenarios
