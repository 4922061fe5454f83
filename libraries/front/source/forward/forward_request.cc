#include "switchsaddle/front/forward/forward_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"

namespace switchsaddle::front {

namespace {

using base::ResultCode;

constexpr std::uint32_t LowestPriority = 9;

char toLower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                              : character;
}

bool sameName(std::string_view first, std::string_view second) {
  return std::ranges::equal(first, second, {}, toLower, toLower);
}

/** Whether a header is hop-by-hop according to RFC 9110, section 7.6.1. */
bool isHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> Names{
      "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
      "upgrade",    "expect",     "content-length"};
  return std::ranges::any_of(Names,
                             [name](std::string_view other) { return sameName(name, other); });
}

/** @return the names of further hop-by-hop headers, from the value of the Connection header. */
std::vector<std::string> connectionNames(std::string_view value) {
  std::vector<std::string> names;
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    std::string_view name = value.substr(0, comma);
    value.remove_prefix(std::min(comma + 1, value.size()));
    while (name.starts_with(' ')) {
      name.remove_prefix(1);
    }
    while (name.ends_with(' ')) {
      name.remove_suffix(1);
    }
    names.emplace_back(name);
  }
  return names;
}

bool isNamed(const std::vector<std::string>& names, std::string_view name) {
  return std::ranges::any_of(names,
                             [name](const std::string& other) { return sameName(other, name); });
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = !text.empty() && error == std::errc() && end == text.data() + text.size();
  return complete ? std::optional(number) : std::nullopt;
}

std::optional<std::uint32_t> parseTokens(std::string_view text) {
  const std::optional<std::uint64_t> number = parseNumber(text);
  constexpr std::uint64_t MaximumTokens = 1U << 30U;
  return number && *number <= MaximumTokens ? std::optional(static_cast<std::uint32_t>(*number))
                                            : std::nullopt;
}

/** Parses "PROMPT,MAXIMUM OUTPUT" in tokens; ignores a malformed value. */
void parseTokenCount(std::string_view text, ForwardRequest& request) {
  const std::size_t comma = text.find(',');
  if (comma == std::string_view::npos) {
    return;
  }
  const auto prompt = parseTokens(text.substr(0, comma));
  const auto maximum_output = parseTokens(text.substr(comma + 1));
  if (prompt && maximum_output) {
    request.prompt.prompt_tokens = *prompt;
    request.prompt.maximum_tokens = *maximum_output;
    request.reports_tokens = true;
  }
}

/** Parses "ID:TOKENS,..."; ignores the segments from the first malformed one on. */
void parsePrefixSegments(std::string_view text, routing::Prompt& prompt) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view segment = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t colon = segment.rfind(':');
    if (colon == std::string_view::npos) {
      return;
    }
    const auto tokens = parseTokens(segment.substr(colon + 1));
    if (!tokens) {
      return;
    }
    prompt.prefix_segments.push_back({std::string(segment.substr(0, colon)), *tokens});
  }
}

/** @return the tenant that owns the key, or null if an open route accepts requests without one. */
const configuration::ForwardTenant* findTenant(const configuration::Forwarding& forwarding,
                                               const configuration::ForwardRoute& route,
                                               std::string_view key) {
  if (forwarding.tenants.empty()) {
    return nullptr;
  }
  if (key.empty()) {
    if (route.open) {
      return nullptr;
    }
    throw base::Error(ResultCode::MissingKey, "");
  }
  const configuration::ForwardTenant* tenant =
      forwarding.tenantOfKey(configuration::sha256Hex(std::string(key)));
  if (tenant == nullptr && !route.open) {
    throw base::Error(ResultCode::UnknownKey, "");
  }
  return tenant;
}

/** Copies the caller's headers, except hop-by-hop headers and those that the front sets. */
void copyForwardedHeaders(const ForwardRequest& request, const ForwardHeaders& headers,
                          bool sets_last_event_id, http::Request& message) {
  const std::vector<std::string> connection_names =
      connectionNames(request.message.header("Connection"));
  const auto set_by_front = [&](std::string_view name) {
    return sameName(name, headers.key) || sameName(name, headers.tenant) ||
           sameName(name, headers.deadline_ms) || sameName(name, headers.priority) ||
           sameName(name, headers.expect_instance) ||
           (sets_last_event_id && sameName(name, headers.last_event_id));
  };
  for (const http::Header& header : request.message.headers) {
    const bool forwarded = !isHopByHop(header.name) && !set_by_front(header.name) &&
                           !isNamed(connection_names, header.name);
    if (forwarded) {
      message.headers.push_back(header);
    }
  }
}

}  // namespace

double ForwardRequest::quotaUnits() const {
  if (tenant == nullptr || tenant->unit == configuration::QuotaUnit::Requests) {
    return 1;
  }
  if (!reports_tokens) {
    return tenant->default_tokens;
  }
  return static_cast<double>(prompt.prompt_tokens) + static_cast<double>(prompt.maximum_tokens);
}

std::uint32_t ForwardRequest::priority() const {
  return tenant != nullptr && tenant->has_priority ? tenant->priority : route->priority;
}

std::string hostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), toLower);
  return name;
}

ForwardRequest parseForwardRequest(std::shared_ptr<const configuration::View> view,
                                   http::Request message, const ForwardHeaders& headers) {
  ForwardRequest request;
  request.view = std::move(view);
  const configuration::Forwarding& forwarding = request.view->forwarding;
  request.route =
      forwarding.find(hostName(message.header("Host")), http::targetPath(message.target));
  if (request.route == nullptr) {
    throw base::Error(ResultCode::UnknownRoute, "");
  }
  request.tenant = findTenant(forwarding, *request.route, message.header(headers.key));
  request.request_id = message.header(headers.request_id);
  if (const auto deadline = parseNumber(message.header(headers.deadline_ms))) {
    request.deadline = std::chrono::milliseconds(*deadline);
  }
  request.prompt.model = message.header(headers.model);
  parseTokenCount(message.header(headers.token_count), request);
  parsePrefixSegments(message.header(headers.prefix_segments), request.prompt);
  request.prompt.last_segment_private = true;
  request.prompt.event_gap_goal = std::chrono::milliseconds(request.route->event_gap_target_ms);
  request.prompt.first_token_goal = std::chrono::milliseconds(request.route->response_target_ms);
  request.prompt.kind = base::hashBytes(request.route->name);
  request.message = std::move(message);
  return request;
}

http::Request workerMessage(const ForwardRequest& request, const ForwardHeaders& headers,
                            const std::string& instance, base::Duration remaining,
                            std::optional<std::uint64_t> last_event_id) {
  http::Request message;
  message.method = request.message.method;
  message.target = request.message.target;
  message.body = request.message.body;
  message.memory = request.message.memory;
  copyForwardedHeaders(request, headers, last_event_id.has_value(), message);
  const std::int64_t remaining_ms = std::max<std::int64_t>(1, base::toMilliseconds(remaining));
  message.headers.push_back({headers.deadline_ms, std::to_string(remaining_ms)});
  message.headers.push_back({headers.expect_instance, instance});
  message.headers.push_back(
      {headers.priority, std::to_string(std::min(request.priority(), LowestPriority))});
  if (request.tenant != nullptr) {
    message.headers.push_back({headers.tenant, request.tenant->name});
  }
  if (last_event_id) {
    message.headers.push_back({headers.last_event_id, std::to_string(*last_event_id)});
  }
  return message;
}

http::Response callerMessage(const http::Response& response) {
  http::Response message;
  message.status = response.status;
  const std::vector<std::string> connection_names = connectionNames(response.header("Connection"));
  for (const http::Header& header : response.headers) {
    if (!isHopByHop(header.name) && !isNamed(connection_names, header.name)) {
      message.headers.push_back(header);
    }
  }
  return message;
}

}  // namespace switchsaddle::front
