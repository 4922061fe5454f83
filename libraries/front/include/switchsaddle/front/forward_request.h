#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/forward_headers.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** A request that a route takes, with the fields that its headers tell. */
struct ForwardRequest {
  /** Keeps the route and the tenant alive. */
  std::shared_ptr<const configuration::View> view;
  const configuration::ForwardRoute* route = nullptr;
  /** Null on an open route, and where the configuration has no tenants. */
  const configuration::ForwardTenant* tenant = nullptr;
  std::string request_id;
  /** How long the caller waits; nothing where it does not say. */
  std::optional<base::Duration> deadline;
  /** Model, parts and tokens, as far as they are told. */
  routing::Prompt prompt;
  /** Whether the caller told its tokens. */
  bool reports_tokens = false;
  /** As received. */
  http::Request message;

  /** What it counts against its tenant's quota. */
  double quotaUnits() const;
  /** The tenant's priority, else the route's. */
  std::uint32_t priority() const;
};

/** The host of a Host header: lower case, without its port. */
std::string hostName(std::string_view host);

/**
 * Finds the route and the tenant and reads the typed fields; a malformed field counts as absent.
 * Throws base::Error with UnknownRoute, MissingKey or UnknownKey.
 */
ForwardRequest parseForwardRequest(std::shared_ptr<const configuration::View> view,
                                   http::Request message, const ForwardHeaders& headers);

/** The message for a worker: the caller's own without what concerns its connection or its key, and
 * with the fields that the front sets. */
http::Request workerMessage(const ForwardRequest& request, const ForwardHeaders& headers,
                            const std::string& instance, base::Duration time_left,
                            std::optional<std::uint64_t> last_event_id);

/** The answer for the caller: the worker's own without what concerns its connection. */
http::Response callerMessage(const http::Response& answer);

}  // namespace switchsaddle::front
