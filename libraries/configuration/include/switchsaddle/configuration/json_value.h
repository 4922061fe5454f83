#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** What a JSON value is. Numbers without a fraction that fit 64 bits are integers. */
enum class JsonKind : std::uint8_t { Null, Boolean, Integer, Number, String, Array, Object };

/** A parsed JSON value. Plain data, without the parser's types, so that headers may name it. */
struct JsonValue {
  JsonKind kind = JsonKind::Null;
  bool boolean = false;
  std::int64_t integer = 0;
  double number = 0;
  std::string text;
  /** Names of an object's members, in the order of the text; its values are in `elements`. */
  std::vector<std::string> names;
  std::vector<JsonValue> elements;

  /** The member of an object, or nullptr. */
  const JsonValue* find(std::string_view name) const;
  /** The text of a string member, or an empty string. */
  std::string textOf(std::string_view name) const;
  /** The value of an integer member, or zero. */
  std::int64_t integerOf(std::string_view name) const;
  /** Canonical text: members in order of their names, no spaces, shortest numbers. */
  std::string canonical() const;
};

/** Bounds of a text to be parsed. */
struct JsonLimits {
  std::size_t maximum_bytes = 4'194'304;
  std::size_t maximum_depth = 16;
  /** Whether comments are taken, as in files that people keep. */
  bool comments = false;
};

/**
 * Parses a text. Appends a fault at `path` where it is too large, too deep or not JSON, and one for
 * each key that an object holds twice; returns nothing in any of these cases.
 */
std::optional<JsonValue> parseJson(std::string_view text, const JsonLimits& limits,
                                   const std::string& path, std::vector<Fault>& faults);

/** Canonical text of a value; a text that is not JSON stays as it is, for the checks to find. */
std::string canonicalText(const std::string& json);

}  // namespace switchsaddle::configuration
