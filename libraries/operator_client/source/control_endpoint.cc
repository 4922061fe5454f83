#include "switchsaddle/operator_client/control_endpoint.h"

#include "response_body.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::operator_client {

namespace {

/** @return whether an error body states that a retry is safe. */
bool isRetrySafe(const std::string& body) {
  std::vector<configuration::Fault> ignored;
  const auto value = configuration::parseJson(body, {}, "", ignored);
  const configuration::JsonValue* error = value ? value->find("error") : nullptr;
  const configuration::JsonValue* is_safe = error ? error->find("retry_safe") : nullptr;
  return is_safe != nullptr && is_safe->boolean;
}

}  // namespace

ControlEndpoint::ControlEndpoint(ControlTransport& transport,
                                 std::vector<base::NodeAddress> addresses, std::string key)
    : transport_(transport), addresses_(std::move(addresses)), key_(std::move(key)) {}

ControlOutcome ControlEndpoint::callAt(const base::NodeAddress& address, const ControlCall& call) {
  http::Request request;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.headers.push_back({"Authorization", "Bearer " + key_});
  request.headers.push_back({"Content-Type", "application/json"});
  const std::optional<http::Response> response = transport_.exchange(address, request);
  ControlOutcome outcome;
  outcome.address = address;
  if (response) {
    outcome.is_answered = true;
    outcome.status = response->status;
    outcome.body = response->body;
  }
  return outcome;
}

bool ControlEndpoint::isFinal(const ControlCall& call, const ControlOutcome& outcome) const {
  if (!outcome.is_answered) {
    return false;
  }
  if (outcome.status == StatusAccepted) {
    return !call.awaits_force;
  }
  return outcome.status < FirstServerError || !isRetrySafe(outcome.body);
}

ControlOutcome ControlEndpoint::call(const ControlCall& call) {
  ControlOutcome last;
  for (int round = 0; round < MaximumRounds; ++round) {
    if (round > 0) {
      transport_.pause();
    }
    for (const base::NodeAddress& address : addresses_) {
      ControlOutcome outcome = callAt(address, call);
      if (isFinal(call, outcome)) {
        return outcome;
      }
      // A later error or time-out does not replace status 202: the change remains committed.
      const bool is_less_certain = !outcome.is_answered || last.status == StatusAccepted;
      if (!is_less_certain || outcome.status == StatusAccepted) {
        last = std::move(outcome);
      }
    }
  }
  return last;
}

}  // namespace switchsaddle::operator_client
