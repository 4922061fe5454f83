#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

/** The closed range an integer must lie in. */
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

/** Whether a text is a name: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'. */
bool isName(std::string_view text);
/** Whether a text is a model's name: 1 to 128 letters, digits and characters of "._:/-". */
bool isModelName(std::string_view text);
/** Whether a text is a SHA-256 in lower-case hexadecimal. */
bool isSha256(std::string_view text);

/**
 * Reads the members of one JSON object and notes every fault: members missing, of the wrong type or
 * out of range, and in finish() those that nobody asked for. Lives within one function.
 */
class ObjectReader {
 public:
  ObjectReader(const JsonValue& value, std::string path, std::vector<Fault>& faults);

  /** The member, or nullptr; nothing is noted where it is missing. */
  const JsonValue* optional(const std::string& name);
  /** The member, or nullptr where it is missing or, as noted, no object. */
  const JsonValue* optionalObject(const std::string& name);
  /** The member, or nullptr with MissingField noted. */
  const JsonValue* required(const std::string& name);
  /** A required string that isName(); empty where faulty. */
  std::string name(const std::string& member);
  /** A required string that is a SHA-256; empty where faulty. */
  std::string sha256(const std::string& member);
  /** An optional string; `fallback` where it is missing or faulty. */
  std::string text(const std::string& member, std::string fallback = {});
  /** An optional integer; `fallback` where it is missing or faulty. */
  std::int64_t integer(const std::string& member, IntegerRange range, std::int64_t fallback);
  /** An optional boolean; `fallback` where it is missing or faulty. */
  bool boolean(const std::string& member, bool fallback);
  /** An optional list of strings; elements of another type are noted and left out. */
  std::vector<std::string> texts(const std::string& member);
  /** Whether the value is an object that holds the member. */
  bool has(const std::string& member) const { return value_.find(member) != nullptr; }
  /** Notes each member that was not asked for. */
  void finish();

  void fault(const std::string& member, base::ResultCode code, const std::string& message);
  std::string pathOf(const std::string& member) const;

 private:
  const JsonValue& value_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::vector<std::string> known_;
};

/** Notes a value that is no integer or lies outside the range; returns whether it was good. */
bool checkInteger(const JsonValue& value, IntegerRange range, const std::string& path,
                  std::vector<Fault>& faults);

}  // namespace switchsaddle::configuration
