#pragma once

#include <string_view>

#include "switchsaddle/front/request/caller_service.h"

namespace switchsaddle::front {

/**
 * The resources by which operators and load balancers observe a front: its page, health, readiness,
 * metrics, routing table and state. All are read with GET. Keeps no state of its own. Runs on the
 * control strand.
 */
class StatusResources {
 public:
  explicit StatusResources(const CallerDependencies& dependencies) : dependencies_(dependencies) {}

  /** Whether the path is one of these resources. */
  static bool serves(std::string_view path);
  /**
   * @param readiness Ok if the front accepts work, else the code of the reason.
   * @throws base::Error with UnknownPath or MethodNotAllowed; for the state also with MissingKey,
   *     UnknownKey or NotAnOperator.
   */
  http::Response respond(const http::Request& request, std::string_view path,
                         base::ResultCode readiness) const;

 private:
  http::Response routingTable(const http::Request& request) const;
  http::Response stateReport(const http::Request& request) const;

  const CallerDependencies& dependencies_;
};

}  // namespace switchsaddle::front
