#include "switchsaddle/configuration/json_writer.h"

#include <array>
#include <charconv>
#include <cmath>

namespace switchsaddle::configuration {

namespace {

constexpr std::string_view ReplacementCharacter = "\xef\xbf\xbd";

/** @return the length announced by the first byte of a UTF-8 sequence; zero if it is invalid. */
std::size_t announcedLength(unsigned char first) {
  if (first < 0x80U) {
    return 1;
  }
  if (first >= 0xc2U && first <= 0xdfU) {
    return 2;
  }
  if ((first & 0xf0U) == 0xe0U) {
    return 3;
  }
  return first >= 0xf0U && first <= 0xf4U ? 4 : 0;
}

/** @return whether the first two bytes encode a valid code point in the shortest form. */
bool isValidPrefix(unsigned char first, unsigned char second) {
  const bool is_overlong = (first == 0xe0U && second < 0xa0U) || (first == 0xf0U && second < 0x90U);
  const bool is_surrogate = first == 0xedU && second >= 0xa0U;
  const bool is_beyond_unicode = first == 0xf4U && second >= 0x90U;
  return !is_overlong && !is_surrogate && !is_beyond_unicode;
}

/** @return the length of the valid UTF-8 sequence at `index`; zero if there is none. */
std::size_t sequenceLength(std::string_view text, std::size_t index) {
  const auto first = static_cast<unsigned char>(text[index]);
  const std::size_t length = announcedLength(first);
  if (length <= 1) {
    return length;
  }
  if (index + length > text.size()) {
    return 0;
  }
  for (std::size_t offset = 1; offset < length; ++offset) {
    if ((static_cast<unsigned char>(text[index + offset]) & 0xc0U) != 0x80U) {
      return 0;
    }
  }
  return isValidPrefix(first, static_cast<unsigned char>(text[index + 1])) ? length : 0;
}

void appendControl(std::string& out, unsigned char character) {
  constexpr std::string_view Digits = "0123456789abcdef";
  out += "\\u00";
  out += Digits[character >> 4U];
  out += Digits[character & 0xfU];
}

void appendAscii(std::string& out, char character) {
  switch (character) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  if (static_cast<unsigned char>(character) < 0x20U) {
    appendControl(out, static_cast<unsigned char>(character));
  } else {
    out += character;
  }
}

}  // namespace

std::string jsonString(std::string_view text) {
  std::string out = "\"";
  for (std::size_t index = 0; index < text.size();) {
    const std::size_t length = sequenceLength(text, index);
    if (length == 0) {
      out += ReplacementCharacter;
      ++index;
      continue;
    }
    if (length == 1) {
      appendAscii(out, text[index]);
    } else {
      out += text.substr(index, length);
    }
    index += length;
  }
  out += '"';
  return out;
}

void JsonWriter::beforeValue() {
  if (after_name_) {
    after_name_ = false;
    return;
  }
  if (needs_comma_.empty()) {
    return;
  }
  if (needs_comma_.back()) {
    text_ += ',';
  }
  needs_comma_.back() = true;
}

JsonWriter& JsonWriter::open(char bracket) {
  beforeValue();
  text_ += bracket;
  needs_comma_.push_back(false);
  return *this;
}

JsonWriter& JsonWriter::close(char bracket) {
  text_ += bracket;
  needs_comma_.pop_back();
  return *this;
}

JsonWriter& JsonWriter::beginObject() {
  return open('{');
}

JsonWriter& JsonWriter::endObject() {
  return close('}');
}

JsonWriter& JsonWriter::beginArray() {
  return open('[');
}

JsonWriter& JsonWriter::endArray() {
  return close(']');
}

JsonWriter& JsonWriter::name(std::string_view name) {
  beforeValue();
  text_ += jsonString(name);
  text_ += ':';
  after_name_ = true;
  return *this;
}

JsonWriter& JsonWriter::string(std::string_view value) {
  return raw(jsonString(value));
}

JsonWriter& JsonWriter::integer(std::int64_t value) {
  return raw(std::to_string(value));
}

JsonWriter& JsonWriter::unsignedInteger(std::uint64_t value) {
  return raw(std::to_string(value));
}

JsonWriter& JsonWriter::number(double value) {
  if (!std::isfinite(value)) {
    return raw("null");
  }
  std::array<char, 32> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return raw(std::string_view(buffer.data(), static_cast<std::size_t>(result.ptr - buffer.data())));
}

JsonWriter& JsonWriter::boolean(bool value) {
  return raw(value ? "true" : "false");
}

JsonWriter& JsonWriter::raw(std::string_view json) {
  beforeValue();
  text_ += json;
  return *this;
}

}  // namespace switchsaddle::configuration
