#include "switchsaddle/front/request/request_parser.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::front {

using base::ResultCode;
using configuration::JsonKind;
using configuration::JsonValue;

namespace {

constexpr std::array<std::string_view, 12> CompletionFields{
    "model", "messages", "stream", "max_tokens", "user",         "temperature",
    "top_p", "stop",     "n",      "seed",       "prefix_parts", "conversation"};
constexpr std::array<std::string_view, 3> OneShotFields{"service", "model", "payload"};
constexpr std::array<std::string_view, 2> PrefixSegmentFields{"id", "tokens"};
constexpr std::size_t MaximumDepth = 32;
/** A long conversation has some thousand; a parsed value takes a hundred bytes and more. */
constexpr std::size_t MaximumValues = 65'536;
/** Mean length of a token in bytes, for estimating the tokens of messages. */
constexpr std::size_t BytesPerToken = 4;
constexpr std::int64_t LargestCount = 1'000'000'000;

[[noreturn]] void fail(ResultCode code, const std::string& path, const std::string& message) {
  throw base::Error(code, message, path);
}

JsonValue parseObject(const std::string& body) {
  std::vector<configuration::Fault> faults;
  configuration::JsonLimits limits;
  limits.maximum_depth = MaximumDepth;
  limits.maximum_values = MaximumValues;
  std::optional<JsonValue> value = configuration::parseJson(body, limits, "", faults);
  if (!value) {
    const configuration::Fault fault = faults.empty() ? configuration::Fault{} : faults.front();
    const bool is_too_large = fault.code == ResultCode::BodyTooLarge;
    fail(is_too_large ? fault.code : ResultCode::MalformedJson, fault.path, fault.message);
  }
  if (value->kind != JsonKind::Object) {
    fail(ResultCode::InvalidValue, "", "the body must be a JSON object");
  }
  return std::move(*value);
}

template <std::size_t Count>
void rejectUnknownFields(const JsonValue& object, const std::array<std::string_view, Count>& known,
                         const std::string& prefix) {
  for (const std::string& name : object.names) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      fail(ResultCode::UnknownField, prefix + name, "unknown field");
    }
  }
}

const JsonValue& require(const JsonValue& object, const std::string& name,
                         const std::string& prefix) {
  const JsonValue* value = object.find(name);
  if (value == nullptr) {
    fail(ResultCode::MissingField, prefix + name, "the field is required");
  }
  return *value;
}

void requireKind(const JsonValue& value, JsonKind kind, const std::string& path,
                 const char* expected) {
  if (value.kind != kind) {
    fail(ResultCode::InvalidValue, path, std::string("expected ") + expected);
  }
}

std::string requireText(const JsonValue& object, const std::string& name,
                        const std::string& prefix) {
  const JsonValue& value = require(object, name, prefix);
  requireKind(value, JsonKind::String, prefix + name, "a string");
  if (value.text.empty()) {
    fail(ResultCode::InvalidValue, prefix + name, "the string is empty");
  }
  return value.text;
}

void validateOptional(const JsonValue& object, const std::string& name, JsonKind kind,
                      const char* expected) {
  if (const JsonValue* value = object.find(name)) {
    requireKind(*value, kind, name, expected);
  }
}

std::uint32_t requireCount(const JsonValue& value, std::int64_t least, const std::string& path) {
  requireKind(value, JsonKind::Integer, path, "a whole number");
  if (value.integer < least || value.integer > LargestCount) {
    fail(ResultCode::InvalidValue, path, "the number is out of range");
  }
  return static_cast<std::uint32_t>(value.integer);
}

/** Validates the messages.
 * @return the bytes of their contents. */
std::size_t validateMessages(const JsonValue& messages) {
  requireKind(messages, JsonKind::Array, "messages", "an array");
  if (messages.elements.empty()) {
    fail(ResultCode::InvalidValue, "messages", "the array is empty");
  }
  std::size_t bytes = 0;
  for (std::size_t index = 0; index < messages.elements.size(); ++index) {
    const std::string path = "messages[" + std::to_string(index) + "]";
    const JsonValue& message = messages.elements[index];
    requireKind(message, JsonKind::Object, path, "an object");
    requireText(message, "role", path + ".");
    const JsonValue& content = require(message, "content", path + ".");
    if (content.kind != JsonKind::String && content.kind != JsonKind::Array) {
      fail(ResultCode::InvalidValue, path + ".content", "expected a string or an array");
    }
    bytes += content.kind == JsonKind::String ? content.text.size() : content.canonical().size();
  }
  return bytes;
}

std::vector<routing::PrefixSegment> parsePrefixSegments(const JsonValue* segments) {
  std::vector<routing::PrefixSegment> parsed;
  if (segments == nullptr) {
    return parsed;
  }
  requireKind(*segments, JsonKind::Array, "prefix_parts", "an array");
  for (std::size_t index = 0; index < segments->elements.size(); ++index) {
    const std::string path = "prefix_parts[" + std::to_string(index) + "]";
    const JsonValue& segment = segments->elements[index];
    requireKind(segment, JsonKind::Object, path, "an object");
    rejectUnknownFields(segment, PrefixSegmentFields, path + ".");
    const std::string id = requireText(segment, "id", path + ".");
    const JsonValue& tokens = require(segment, "tokens", path + ".");
    parsed.push_back({id, requireCount(tokens, 0, path + ".tokens")});
  }
  return parsed;
}

void setMember(JsonValue& object, const std::string& name, JsonValue value) {
  for (std::size_t index = 0; index < object.names.size(); ++index) {
    if (object.names[index] == name) {
      object.elements[index] = std::move(value);
      return;
    }
  }
  object.names.push_back(name);
  object.elements.push_back(std::move(value));
}

std::uint32_t estimateTokens(std::size_t message_bytes,
                             const std::vector<routing::PrefixSegment>& prefix_segments) {
  std::uint64_t tokens = message_bytes / BytesPerToken;
  for (const routing::PrefixSegment& segment : prefix_segments) {
    tokens += segment.tokens;
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, LargestCount));
}

/** @return the canonical body with the fields "stream" and "max_tokens" set for the worker. */
std::string streamingBody(JsonValue object, std::uint32_t maximum_tokens) {
  JsonValue streaming;
  streaming.kind = JsonKind::Boolean;
  streaming.boolean = true;
  setMember(object, "stream", std::move(streaming));
  JsonValue token_limit;
  token_limit.kind = JsonKind::Integer;
  token_limit.integer = maximum_tokens;
  setMember(object, "max_tokens", std::move(token_limit));
  return object.canonical();
}

}  // namespace

CompletionBody parseCompletionBody(const std::string& body, std::uint32_t default_maximum_tokens) {
  JsonValue object = parseObject(body);
  rejectUnknownFields(object, CompletionFields, "");
  CompletionBody parsed;
  parsed.prompt.model = requireText(object, "model", "");
  const std::size_t message_bytes = validateMessages(require(object, "messages", ""));
  validateOptional(object, "stream", JsonKind::Boolean, "true or false");
  validateOptional(object, "user", JsonKind::String, "a string");
  validateOptional(object, "conversation", JsonKind::String, "a string");
  if (const JsonValue* stream = object.find("stream")) {
    parsed.stream = stream->boolean;
  }
  const JsonValue* maximum = object.find("max_tokens");
  parsed.prompt.maximum_tokens =
      maximum == nullptr ? default_maximum_tokens : requireCount(*maximum, 1, "max_tokens");
  parsed.prompt.prefix_segments = parsePrefixSegments(object.find("prefix_parts"));
  parsed.prompt.prompt_tokens = estimateTokens(message_bytes, parsed.prompt.prefix_segments);
  parsed.worker_body = streamingBody(std::move(object), parsed.prompt.maximum_tokens);
  return parsed;
}

OneShotBody parseOneShotBody(const std::string& body) {
  const JsonValue object = parseObject(body);
  rejectUnknownFields(object, OneShotFields, "");
  OneShotBody parsed;
  parsed.service = requireText(object, "service", "");
  if (object.find("model") != nullptr) {
    parsed.model = requireText(object, "model", "");
  }
  require(object, "payload", "");
  parsed.worker_body = object.canonical();
  parsed.fingerprint = base::hashBytes(parsed.worker_body);
  return parsed;
}

}  // namespace switchsaddle::front
