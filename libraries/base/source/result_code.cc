#include "switchsaddle/base/result_code.h"

#include <array>
#include <stdexcept>
#include <string>

namespace switchsaddle::base {

namespace {

using enum ResultCode;

constexpr std::array Table{
    ResultCodeInfo{Ok, "Ok", 200, true, "The request was carried out."},
    ResultCodeInfo{MalformedJson, "MalformedJson", 400, false, "The body is not valid JSON."},
    ResultCodeInfo{UnknownField, "UnknownField", 400, false, "A field is not known at this place."},
    ResultCodeInfo{MissingField, "MissingField", 400, false, "A required field is missing."},
    ResultCodeInfo{InvalidValue, "InvalidValue", 400, false,
                   "A value has the wrong type or range."},
    ResultCodeInfo{BodyTooLarge, "BodyTooLarge", 413, false, "The body exceeds the size limit."},
    ResultCodeInfo{UnknownPath, "UnknownPath", 404, false, "No resource has this path."},
    ResultCodeInfo{MethodNotAllowed, "MethodNotAllowed", 405, false,
                   "The resource does not take this method."},
    ResultCodeInfo{InvalidAddress, "InvalidAddress", 400, false,
                   "An address is not an IP number with a port."},
    ResultCodeInfo{MalformedHttp, "MalformedHttp", 400, false,
                   "The request is not valid HTTP/1.1."},
    ResultCodeInfo{MissingKey, "MissingKey", 401, false, "No Authorization: Bearer key was sent."},
    ResultCodeInfo{UnknownKey, "UnknownKey", 401, false, "The key is not in force."},
    ResultCodeInfo{NotAnOperator, "NotAnOperator", 401, false, "The key is not an operator's key."},
    ResultCodeInfo{OverBranchLimit, "OverBranchLimit", 429, true,
                   "All slots of the tenant's branch are in use."},
    ResultCodeInfo{FirstTokenTooLate, "FirstTokenTooLate", 503, true,
                   "No worker is expected to give the first token within the shape's bound."},
    ResultCodeInfo{QueueFull, "QueueFull", 503, true, "A stage's queue on this node is full."},
    ResultCodeInfo{NoWorkerAvailable, "NoWorkerAvailable", 503, true,
                   "No worker of the route can take the request."},
    ResultCodeInfo{UnknownModel, "UnknownModel", 404, false, "No route serves this model."},
    ResultCodeInfo{NotServing, "NotServing", 503, true,
                   "This node's session has lapsed or its configuration is not yet in force."},
    ResultCodeInfo{Stopping, "Stopping", 503, true, "This node is stopping; ask another."},
    ResultCodeInfo{LimitsUnavailable, "LimitsUnavailable", 503, true,
                   "The ledger of the branch's slots cannot be reached."},
    ResultCodeInfo{UnknownService, "UnknownService", 404, false, "No route has this service."},
    ResultCodeInfo{RetryBudgetSpent, "RetryBudgetSpent", 503, true,
                   "The first try failed before any output and the retry budget is spent."},
    ResultCodeInfo{UnknownRoute, "UnknownRoute", 404, false, "No route takes this host and path."},
    ResultCodeInfo{QuotaSpent, "QuotaSpent", 429, true,
                   "The tenant has used up its quota for now; the request has not run."},
    ResultCodeInfo{RequestMemoryFull, "RequestMemoryFull", 503, true,
                   "This node has no memory for the request now; it has not run."},
    ResultCodeInfo{OutcomeUnknown, "OutcomeUnknown", 504, false,
                   "The one-shot may have run; its key will not run again."},
    ResultCodeInfo{KeyReusedForOtherRequest, "KeyReusedForOtherRequest", 409, false,
                   "The idempotency key was used with another request body."},
    ResultCodeInfo{ClaimsUnavailable, "ClaimsUnavailable", 503, true,
                   "The key could not be claimed; nothing was sent to a worker."},
    ResultCodeInfo{NotRun, "NotRun", 503, true, "The one-shot was proven not to have run."},
    ResultCodeInfo{MissingIdempotencyKey, "MissingIdempotencyKey", 400, false,
                   "A one-shot needs an Idempotency-Key header."},
    ResultCodeInfo{StreamBroken, "StreamBroken", 502, true,
                   "The worker ended the stream before its run was complete."},
    ResultCodeInfo{StreamGap, "StreamGap", 502, true, "The worker's stream left out a piece."},
    ResultCodeInfo{StreamRepeat, "StreamRepeat", 502, true,
                   "The worker's stream repeated a piece."},
    ResultCodeInfo{StreamRunChanged, "StreamRunChanged", 502, true,
                   "The worker's stream changed to another run."},
    ResultCodeInfo{WorkerFailed, "WorkerFailed", 502, true,
                   "The worker refused or failed the request."},
    ResultCodeInfo{OutcomeNotKnown, "OutcomeNotKnown", 502, false,
                   "The worker's answer was lost; the forwarded request may have run."},
    ResultCodeInfo{
        TimeLimitPassed, "TimeLimitPassed", 504, false,
        "The route's time limit or the caller's deadline passed; the request may have run."},
    ResultCodeInfo{ConfigurationConflict, "ConfigurationConflict", 409, false,
                   "Another change won on this base version."},
    ResultCodeInfo{ConfigurationInvalid, "ConfigurationInvalid", 422, false,
                   "The change would make the configuration invalid."},
    ResultCodeInfo{CommittedNotYetInForce, "CommittedNotYetInForce", 202, true,
                   "The change is committed but not yet in force on every front."},
    ResultCodeInfo{ChangeIdReused, "ChangeIdReused", 409, false,
                   "The change id was used for another change."},
    ResultCodeInfo{SettingsInvalid, "SettingsInvalid", 400, false, "The settings file is invalid."},
    ResultCodeInfo{AlreadyInMaintenance, "AlreadyInMaintenance", 409, false,
                   "The worker is in maintenance by another order."},
    ResultCodeInfo{CapacityTooLow, "CapacityTooLow", 409, true,
                   "Too few workers would be left without this one."},
    ResultCodeInfo{NothingToMaintain, "NothingToMaintain", 409, true,
                   "No worker is known to be sick."},
    ResultCodeInfo{UnknownWorker, "UnknownWorker", 404, false, "No worker has this name."},
    ResultCodeInfo{SettingsNeedRestart, "SettingsNeedRestart", 409, false,
                   "Changed settings take effect only at the next start."},
    ResultCodeInfo{OrderExpired, "OrderExpired", 503, true,
                   "The order was not decided while its caller waited; it has no effect."},
    ResultCodeInfo{SettingsUnreadable, "SettingsUnreadable", 503, true,
                   "The settings file is missing or is not whole."},
    ResultCodeInfo{AddressUnavailable, "AddressUnavailable", 503, true,
                   "A listening address cannot be taken now."},
    ResultCodeInfo{NoQuorum, "NoQuorum", 503, true, "A majority of the core did not answer."},
    ResultCodeInfo{SessionLapsed, "SessionLapsed", 503, true, "The session has lapsed."},
    ResultCodeInfo{LeaseHeldElsewhere, "LeaseHeldElsewhere", 409, true,
                   "Another node holds the lease."},
    ResultCodeInfo{StaleTerm, "StaleTerm", 409, false, "The message is of an older term."},
    ResultCodeInfo{PeerTimeout, "PeerTimeout", 504, true, "A peer did not answer in time."},
    ResultCodeInfo{PeerUnreachable, "PeerUnreachable", 503, true, "A peer refused the connection."},
    ResultCodeInfo{MalformedMessage, "MalformedMessage", 400, false,
                   "A peer's message could not be decoded."},
    ResultCodeInfo{InstanceNotAdmitted, "InstanceNotAdmitted", 503, false,
                   "The core instance has not been admitted and may not vote."},
    ResultCodeInfo{AcceptorSetChanged, "AcceptorSetChanged", 409, true,
                   "The request names an older acceptor set."},
    ResultCodeInfo{Recovering, "Recovering", 503, true,
                   "The core node restarted less than a session length ago."},
    ResultCodeInfo{ToleranceNotMet, "ToleranceNotMet", 503, true,
                   "The core cannot bear the losses that the deployment asks for."},
    ResultCodeInfo{StorageFailed, "StorageFailed", 503, true, "A write or sync failed."},
    ResultCodeInfo{StorageFull, "StorageFull", 503, true, "The disk is full."},
    ResultCodeInfo{StorageSlow, "StorageSlow", 503, true,
                   "The disk did not finish within its bound."},
    ResultCodeInfo{RecordCorrupt, "RecordCorrupt", 500, false,
                   "A stored record fails its checksum."},
    ResultCodeInfo{InternalError, "InternalError", 500, false, "A fault of this program."},
};

}  // namespace

std::span<const ResultCodeInfo> resultCodeTable() {
  return Table;
}

const ResultCodeInfo& describe(ResultCode code) {
  for (const ResultCodeInfo& info : Table) {
    if (info.code == code) {
      return info;
    }
  }
  throw std::out_of_range("unknown result code " + std::to_string(static_cast<int>(code)));
}

}  // namespace switchsaddle::base
