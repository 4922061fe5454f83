#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace switchsaddle::base {

/**
 * Results reported to callers, operators and peers. The numbers are part of the public interface
 * and never change their meaning. docs/RESULT_CODES.md contains the same table; a test compares
 * them.
 */
enum class ResultCode : std::uint16_t {
  Ok = 0,
  // 1000: malformed requests.
  MalformedJson = 1001,
  UnknownField = 1002,
  MissingField = 1003,
  InvalidValue = 1004,
  BodyTooLarge = 1005,
  UnknownPath = 1006,
  MethodNotAllowed = 1007,
  InvalidAddress = 1008,
  MalformedHttp = 1009,
  // 2000: authentication and authorization.
  MissingKey = 2001,
  UnknownKey = 2002,
  NotAnOperator = 2003,
  // 3000: rejected at admission; the request has not run.
  OverBranchLimit = 3001,
  FirstTokenTooLate = 3002,
  QueueFull = 3003,
  NoWorkerAvailable = 3004,
  UnknownModel = 3005,
  NotServing = 3006,
  Stopping = 3007,
  LimitsUnavailable = 3008,
  UnknownService = 3009,
  RetryBudgetSpent = 3010,
  UnknownRoute = 3011,
  QuotaSpent = 3012,
  RequestMemoryFull = 3013,
  // 4000: one-shot requests.
  OutcomeUnknown = 4001,
  KeyReusedForOtherRequest = 4002,
  ClaimsUnavailable = 4003,
  NotRun = 4004,
  MissingIdempotencyKey = 4005,
  // 5000: streams.
  StreamBroken = 5001,
  StreamGap = 5002,
  StreamRepeat = 5003,
  StreamRunChanged = 5004,
  WorkerFailed = 5005,
  OutcomeNotKnown = 5006,
  TimeLimitPassed = 5007,
  // 6000: configuration.
  ConfigurationConflict = 6001,
  ConfigurationInvalid = 6002,
  CommittedNotYetInForce = 6003,
  ChangeIdReused = 6004,
  SettingsInvalid = 6005,
  AlreadyInMaintenance = 6006,
  CapacityTooLow = 6007,
  NothingToMaintain = 6008,
  UnknownWorker = 6009,
  SettingsNeedRestart = 6010,
  OrderExpired = 6011,
  SettingsUnreadable = 6012,
  AddressUnavailable = 6013,
  // 7000: the control plane.
  NoQuorum = 7001,
  SessionLapsed = 7002,
  LeaseHeldElsewhere = 7003,
  StaleTerm = 7004,
  PeerTimeout = 7005,
  PeerUnreachable = 7006,
  MalformedMessage = 7007,
  InstanceNotAdmitted = 7008,
  AcceptorSetChanged = 7009,
  Recovering = 7010,
  ToleranceNotMet = 7011,
  // 8000: storage.
  StorageFailed = 8001,
  StorageFull = 8002,
  StorageSlow = 8003,
  RecordCorrupt = 8004,
  // 9000: defects of this program.
  InternalError = 9001,
};

/** Fixed properties of a result code. */
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /** HTTP status of a response with this code. */
  std::uint16_t http_status;
  /** Retrying the identical request is safe and may succeed. */
  bool retry_is_safe;
  /** Description for people; the default message of an error response. */
  std::string_view meaning;
};

/** @return all codes in numeric order. */
std::span<const ResultCodeInfo> resultCodeTable();

/**
 * @return the properties of a code.
 * @throws std::out_of_range if the number is not in the table.
 */
const ResultCodeInfo& describe(ResultCode code);

}  // namespace switchsaddle::base
