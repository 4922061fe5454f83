#include "switchsaddle/claims/claim_service.h"

#include <optional>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/claims/claim_value.h"

namespace switchsaddle::claims {

using wire::ClaimState;

namespace {

/**
 * @return the claim, or std::nullopt if the register is empty. A corrupt claim is decoded as
 * Unknown, so that no further run can claim the key.
 */
std::optional<ClaimValue> readClaim(const std::string& current) {
  if (current.empty()) {
    return std::nullopt;
  }
  try {
    return decodeClaim(current);
  } catch (const base::Error&) {
    ClaimValue value;
    value.state = ClaimState::Unknown;
    return value;
  }
}

std::optional<std::string> applyBegin(const wire::ClaimBegin& request, const std::string& current) {
  const std::optional<ClaimValue> claim = readClaim(current);
  const bool claimable = !claim || claim->state == ClaimState::NotRun;
  // A late begin of a run that has ended must not claim the key, since no one would end the claim.
  const bool has_ended = claim && claim->run == request.run;
  if (!claimable || has_ended) {
    return std::nullopt;
  }
  ClaimValue value;
  value.state = ClaimState::InFlight;
  value.fingerprint = request.fingerprint;
  value.run = request.run;
  value.lifetime_s = request.lifetime_s;
  return encodeClaim(value);
}

std::optional<std::string> applyFinish(const wire::ClaimFinish& request,
                                       const std::string& current) {
  if (request.state == ClaimState::InFlight) {
    return std::nullopt;
  }
  std::optional<ClaimValue> claim = readClaim(current);
  if (!claim && request.state == ClaimState::NotRun) {
    // The begin may still be in flight. The recorded claim prevents it from claiming the key later.
    claim = ClaimValue{};
    claim->run = request.run;
  }
  if (!claim || claim->state != ClaimState::InFlight || claim->run != request.run) {
    return std::nullopt;
  }
  claim->state = request.state;
  claim->http_status = request.http_status;
  claim->answer = request.state == ClaimState::Ran ? request.answer : std::string();
  return encodeClaim(*claim);
}

wire::ClaimReply toReply(const registers::RegisterOutcome& outcome, const std::string& run,
                         ClaimState expected) {
  wire::ClaimReply reply;
  reply.available = outcome.code == base::ResultCode::Ok;
  if (!reply.available) {
    return reply;
  }
  const std::optional<ClaimValue> claim = readClaim(outcome.value);
  if (!claim) {
    return reply;
  }
  reply.recorded = claim->run == run && claim->state == expected;
  reply.state = claim->state;
  reply.fingerprint = claim->fingerprint;
  reply.run = claim->run;
  reply.http_status = claim->http_status;
  reply.answer = claim->answer;
  return reply;
}

}  // namespace

ClaimService::ClaimService(transport::PeerCalls& calls, registers::RegisterProposer& proposer)
    : proposer_(proposer) {
  calls.handle<wire::ClaimBegin>(
      [this](const base::NodeAddress& /*from*/, const wire::ClaimBegin& request,
             transport::ReplyFunction reply) { begin(request, std::move(reply)); });
  calls.handle<wire::ClaimFinish>(
      [this](const base::NodeAddress& /*from*/, const wire::ClaimFinish& request,
             transport::ReplyFunction reply) { finish(request, std::move(reply)); });
}

void ClaimService::begin(const wire::ClaimBegin& request,
                         std::function<void(wire::ClaimReply)> reply) {
  const auto change = [request](const std::string& current) {
    return applyBegin(request, current);
  };
  proposer_.change(claimKey(request.tenant, request.idempotency_key), change,
                   [run = request.run, reply = std::move(reply)](const auto& outcome) {
                     reply(toReply(outcome, run, ClaimState::InFlight));
                   });
}

void ClaimService::finish(const wire::ClaimFinish& request,
                          std::function<void(wire::ClaimReply)> reply) {
  const auto change = [request](const std::string& current) {
    return applyFinish(request, current);
  };
  proposer_.change(claimKey(request.tenant, request.idempotency_key), change,
                   [run = request.run, state = request.state, reply = std::move(reply)](
                       const auto& outcome) { reply(toReply(outcome, run, state)); });
}

}  // namespace switchsaddle::claims
