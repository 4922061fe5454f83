#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/forward/forward_headers.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** A request that matches a route, with the typed fields of its headers. */
struct ForwardRequest {
  /** Keeps the route and the tenant alive. */
  std::shared_ptr<const configuration::View> view;
  const configuration::ForwardRoute* route = nullptr;
  /** Null on an open route, and if the configuration has no tenants. */
  const configuration::ForwardTenant* tenant = nullptr;
  std::string request_id;
  /** Time until the caller's timeout, if the caller sent it. */
  std::optional<base::Duration> deadline;
  /** Model, prefix segments and tokens; defaults for those fields that the caller did not send. */
  routing::Prompt prompt;
  /** Whether the caller sent the numbers of tokens. */
  bool reports_tokens = false;
  /** The request as received. */
  http::Request message;

  /** @return the units that the request counts against its tenant's quota. */
  double quotaUnits() const;
  /** @return the tenant's priority if it has one, else the route's. */
  std::uint32_t priority() const;
};

/** @return the host of a Host header in lower case, without its port. */
std::string hostName(std::string_view host);

/**
 * Finds the route and the tenant of a request and parses its typed fields. A malformed field is
 * treated as absent.
 * @throws base::Error with UnknownRoute, MissingKey or UnknownKey.
 */
ForwardRequest parseForwardRequest(std::shared_ptr<const configuration::View> view,
                                   http::Request message, const ForwardHeaders& headers);

/**
 * Builds the message for a worker: the caller's message without the headers of its connection and
 * its key, and with the fields that the front sets.
 * @param instance id of the worker instance that the request is for.
 * @param remaining time until the request's deadline.
 * @param last_event_id id of the last event that the caller has received, if a stream is resumed.
 */
http::Request workerMessage(const ForwardRequest& request, const ForwardHeaders& headers,
                            const std::string& instance, base::Duration remaining,
                            std::optional<std::uint64_t> last_event_id);

/** Builds the response for the caller: the worker's response without the headers of its connection.
 */
http::Response callerMessage(const http::Response& response);

}  // namespace switchsaddle::front
