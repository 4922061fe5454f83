#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** Type of a JSON value. A number without a fraction that fits 64 bits is an Integer. */
enum class JsonKind : std::uint8_t { Null, Boolean, Integer, Number, String, Array, Object };

/** A parsed JSON value. Independent of the parser's types, so that headers need not include them.
 */
struct JsonValue {
  JsonKind kind = JsonKind::Null;
  bool boolean = false;
  std::int64_t integer = 0;
  double number = 0;
  std::string text;
  /** Names of an object's members in the order of the text; `elements` contains their values. */
  std::vector<std::string> names;
  /** Elements of an array, or values of an object's members. */
  std::vector<JsonValue> elements;

  /** @return the member of an object, or nullptr. */
  const JsonValue* find(std::string_view name) const;
  /** @return the value of a string member, or an empty string. */
  std::string textOf(std::string_view name) const;
  /** @return the value of an integer member, or zero. */
  std::int64_t integerOf(std::string_view name) const;
  /** @return canonical JSON: members ordered by name, no spaces, shortest form of numbers. */
  std::string canonical() const;
};

/** Limits and options of the parser. */
struct JsonLimits {
  std::size_t maximum_bytes = 4'194'304;
  std::size_t maximum_depth = 16;
  /**
   * Values of a document, nested ones included: each takes far more memory than its text. Not
   * counted where comments are accepted.
   */
  std::size_t maximum_values = 262'144;
  /** Accept comments, as in files edited by people. */
  bool comments = false;
};

/**
 * Parses JSON.
 * @param path location of the text, to which the paths of faults are relative.
 * @param faults receives a fault if the text is too large, has too many values, is too deep or not
 * JSON, and one for each duplicate key.
 * @return the value, or std::nullopt if there was a fault.
 */
std::optional<JsonValue> parseJson(std::string_view text, const JsonLimits& limits,
                                   const std::string& path, std::vector<Fault>& faults);

/** @return whether the text is the beginning of a JSON text, or empty: it may still be written. */
bool isCutJson(std::string_view text, const JsonLimits& limits);

/**
 * @return whether a JSON text may have more than this number of values, nested ones included; for
 *     texts that are to be refused before they are parsed.
 */
bool hasMoreValues(std::string_view text, std::size_t maximum);

/** @return the canonical form of a JSON text; a text that is not JSON is returned unchanged. */
std::string canonicalText(const std::string& json);

}  // namespace switchsaddle::configuration
