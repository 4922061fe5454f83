#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::configuration {

/** @return the text as a quoted JSON string; invalid UTF-8 becomes U+FFFD. */
std::string jsonString(std::string_view text);

/**
 * Streaming JSON writer. Inserts commas; the caller must balance begin and end calls and precede
 * each member's value with name(). Not thread-safe.
 */
class JsonWriter {
 public:
  JsonWriter& beginObject();
  JsonWriter& endObject();
  JsonWriter& beginArray();
  JsonWriter& endArray();
  /** Writes the name of the next member. */
  JsonWriter& name(std::string_view name);
  JsonWriter& string(std::string_view value);
  JsonWriter& integer(std::int64_t value);
  JsonWriter& unsignedInteger(std::uint64_t value);
  /** Writes the shortest exact form; null if the value is not finite. */
  JsonWriter& number(double value);
  JsonWriter& boolean(bool value);
  /** @param json value in JSON, written unchanged. */
  JsonWriter& raw(std::string_view json);
  /** @return the text written so far. */
  const std::string& text() const { return text_; }

 private:
  void beforeValue();
  JsonWriter& open(char bracket);
  JsonWriter& close(char bracket);

  std::string text_;
  /** For each open object or array: whether the next value needs a comma. */
  std::vector<bool> needs_comma_;
  bool after_name_ = false;
};

}  // namespace switchsaddle::configuration
