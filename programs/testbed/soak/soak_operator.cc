#include "soak/soak_operator.h"

#include <array>
#include <boost/json.hpp>
#include <utility>

#include "http_probe.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

using testbed::ControlOperation;
using testbed::ControlOperationKind;
using testbed::ControlOutcome;

constexpr base::Duration AnswerLimit = std::chrono::seconds(1);
constexpr int MaximumSends = 6;
constexpr double ChangeShare = 0.4;
constexpr double EvacuationShare = 0.3;
/** Zones without workers or nodes, so that their evacuation harms no request. */
constexpr std::array Zones{"hall-1", "hall-2"};
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusAccepted = 202;
constexpr std::uint16_t StatusConflict = 409;
constexpr std::uint16_t FirstStatusOfClientError = 400;
constexpr std::uint16_t FirstStatusOfServerFailure = 500;

/** @return the version that an answer names; 0 if it names none. */
std::uint64_t versionOf(const http::Response& answer) {
  try {
    return static_cast<std::uint64_t>(
        testbed::integerField(testbed::parseObject(answer.body), "version", 0));
  } catch (const base::Error&) {
    return 0;
  }
}

bool isCommitted(const http::Response& answer) {
  return answer.status == StatusOk || answer.status == StatusAccepted;
}

/** Whether the answer refuses an order because the zone has the state already. */
bool isRefused(const http::Response& answer) {
  return answer.status >= FirstStatusOfClientError && answer.status < FirstStatusOfServerFailure;
}

}  // namespace

SoakOperator::SoakOperator(OperatorContext context)
    : context_(std::move(context)), name_("operator-" + std::to_string(context_.number)) {}

void SoakOperator::operate(base::RandomSource& random) {
  const double draw = random.uniform();
  if (draw < ChangeShare) {
    change(random);
  } else if (draw < ChangeShare + EvacuationShare) {
    evacuate(random);
  } else {
    read(random);
  }
}

ControlOperation SoakOperator::begin(ControlOperationKind kind) {
  ControlOperation operation;
  operation.kind = kind;
  operation.id = name_ + "-" + std::to_string(++operations_);
  operation.invoked_s = context_.ledger.elapsedSeconds();
  return operation;
}

void SoakOperator::end(ControlOperation operation, ControlOutcome outcome, std::uint64_t version) {
  operation.ended_s = context_.ledger.elapsedSeconds();
  operation.outcome = outcome;
  operation.version = version;
  context_.history.add(std::move(operation));
}

std::optional<http::Response> SoakOperator::send(base::RandomSource& random,
                                                 http::Request request) const {
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + context_.key}};
  const std::vector<base::NodeAddress> nodes = context_.nodes();
  return fetchOnce(nodes[random.below(nodes.size())], std::move(request), AnswerLimit);
}

void SoakOperator::change(base::RandomSource& random) {
  ControlOperation operation = begin(ControlOperationKind::Change);
  operation.base_version = known_version_;
  const boost::json::object set{{"tuning/route-explore-share", random.uniform()}};
  http::Request request;
  request.method = "POST";
  request.target = "/v1/configuration/changes";
  request.body = boost::json::serialize(boost::json::object{
      {"change_id", operation.id}, {"base_version", known_version_}, {"set", set}});
  for (int sent = 0; sent < MaximumSends; ++sent) {
    const auto answer = send(random, request);
    if (answer && isCommitted(*answer)) {
      known_version_ = versionOf(*answer);
      context_.ledger.add(testbed::AcknowledgedChange{operation.id, known_version_});
      end(std::move(operation), ControlOutcome::Done, known_version_);
      return;
    }
    if (answer && answer->status == StatusConflict) {
      known_version_ = versionOf(*answer);
      end(std::move(operation), ControlOutcome::Refused, 0);
      return;
    }
  }
  end(std::move(operation), ControlOutcome::Unknown, 0);
}

void SoakOperator::evacuate(base::RandomSource& random) {
  const bool begins = random.chance(0.5);
  ControlOperation operation =
      begin(begins ? ControlOperationKind::BeginEvacuation : ControlOperationKind::EndEvacuation);
  operation.zone = Zones.at(random.below(Zones.size()));
  for (int sent = 0; sent < MaximumSends; ++sent) {
    http::Request request;
    request.method = begins ? "POST" : "DELETE";
    request.target = "/v1/zones/" + operation.zone + "/evacuation?change_id=" + operation.id + "-" +
                     std::to_string(sent);
    const auto answer = send(random, std::move(request));
    if (answer && (isCommitted(*answer) || isRefused(*answer))) {
      // A refusal tells the state at that time, as an acknowledgement does, but no version.
      const std::uint64_t version = isCommitted(*answer) ? versionOf(*answer) : 0;
      end(std::move(operation), ControlOutcome::Done, version);
      return;
    }
  }
  end(std::move(operation), ControlOutcome::Unknown, 0);
}

void SoakOperator::read(base::RandomSource& random) {
  ControlOperation operation = begin(ControlOperationKind::Read);
  http::Request request;
  request.method = "GET";
  request.target = "/v1/configuration";
  const auto answer = send(random, std::move(request));
  if (!answer || answer->status != StatusOk) {
    end(std::move(operation), ControlOutcome::Unknown, 0);
    return;
  }
  for (const char* zone : Zones) {
    if (answer->body.find("evacuations/" + std::string(zone)) != std::string::npos) {
      operation.evacuated.insert(zone);
    }
  }
  end(std::move(operation), ControlOutcome::Done, versionOf(*answer));
}

}  // namespace switchsaddle::testbed_commands
