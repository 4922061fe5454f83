#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

/** Closed range of valid integers. */
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

/** @return whether a text is a name: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'. */
bool isName(std::string_view text);
/** @return whether a text is a model's name: 1 to 128 letters, digits and characters of "._:/-". */
bool isModelName(std::string_view text);
/** @return whether a text is a SHA-256 in lower-case hexadecimal. */
bool isSha256(std::string_view text);

/**
 * Reads the members of a JSON object and reports all faults: members that are missing, have the
 * wrong type or are out of range, and, in finish(), unknown members. Refers to the value and the
 * faults, which must outlive it.
 */
class ObjectReader {
 public:
  /** @param path location of the value, to which the paths of faults are relative. */
  ObjectReader(const JsonValue& value, std::string path, std::vector<Fault>& faults);

  /** @return the member, or nullptr if it is missing. */
  const JsonValue* optional(const std::string& name);
  /** @return the member, or nullptr if it is missing; another type is a fault. */
  const JsonValue* optionalObject(const std::string& name);
  /** @return the member, or nullptr if it is missing, which is a fault. */
  const JsonValue* required(const std::string& name);
  /** @return a required string that isName(); empty if faulty. */
  std::string name(const std::string& member);
  /** @return a required string that is a SHA-256; empty if faulty. */
  std::string sha256(const std::string& member);
  /** @return an optional string; `fallback` if missing or faulty. */
  std::string text(const std::string& member, std::string fallback = {});
  /** @return an optional integer; `fallback` if missing or faulty. */
  std::int64_t integer(const std::string& member, IntegerRange range, std::int64_t fallback);
  /** @return an optional number of at least 0; `fallback` if missing or faulty. */
  double nonNegativeNumber(const std::string& member, double fallback);
  /** @return an optional boolean; `fallback` if missing or faulty. */
  bool boolean(const std::string& member, bool fallback);
  /** @return an optional list of strings, without the elements of another type, which are faults.
   */
  std::vector<std::string> texts(const std::string& member);
  /** @return whether the value is an object with the member. */
  bool has(const std::string& member) const { return value_.find(member) != nullptr; }
  /** Reports each member that no other function has read as unknown. */
  void finish();

  /** Reports a fault of a member. */
  void fault(const std::string& member, base::ResultCode code, const std::string& message);
  /** @return the complete path of a member. */
  std::string pathOf(const std::string& member) const;

 private:
  const JsonValue& value_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::vector<std::string> read_members_;
};

/** Reports a value that is not an integer within the range; @return whether it is valid. */
bool checkInteger(const JsonValue& value, IntegerRange range, const std::string& path,
                  std::vector<Fault>& faults);

}  // namespace switchsaddle::configuration
