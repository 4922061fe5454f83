#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::configuration {

/** The text as a JSON string, with its quotes. Bytes that are not UTF-8 become U+FFFD. */
std::string jsonString(std::string_view text);

/**
 * Writes JSON text piece by piece. The caller keeps begin and end in step; commas are placed by the
 * writer. Not thread-safe.
 */
class JsonWriter {
 public:
  JsonWriter& beginObject();
  JsonWriter& endObject();
  JsonWriter& beginArray();
  JsonWriter& endArray();
  /** The name of the next value. */
  JsonWriter& name(std::string_view name);
  JsonWriter& string(std::string_view value);
  JsonWriter& integer(std::int64_t value);
  JsonWriter& unsignedInteger(std::uint64_t value);
  /** A value that JSON cannot hold (not finite) is written as null. */
  JsonWriter& number(double value);
  JsonWriter& boolean(bool value);
  /** A value that is JSON text already. */
  JsonWriter& raw(std::string_view json);
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
