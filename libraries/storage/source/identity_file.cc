#include "identity_file.h"

#include <charconv>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::storage {

std::string paddedNumber(std::uint64_t value) {
  const std::string digits = std::to_string(value);
  return std::string(PaddedNumberDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> parsePaddedNumber(const std::string& name, std::size_t offset) {
  if (name.size() < offset + PaddedNumberDigits) {
    return std::nullopt;
  }
  const char* begin = name.data() + offset;
  const char* end = begin + PaddedNumberDigits;
  std::uint64_t value = 0;
  const std::from_chars_result result = std::from_chars(begin, end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string encodeIdentity(const Identity& identity) {
  const std::string numbers =
      paddedNumber(identity.instance) + " " + paddedNumber(identity.bucket_count);
  return numbers + " " + paddedNumber(base::hashBytes(numbers)) + "\n";
}

std::optional<Identity> decodeIdentity(const std::string& bytes) {
  const std::optional<std::uint64_t> instance = parsePaddedNumber(bytes, 0);
  const std::optional<std::uint64_t> bucket_count =
      parsePaddedNumber(bytes, PaddedNumberDigits + 1);
  if (!instance || !bucket_count) {
    return std::nullopt;
  }
  const Identity identity{*instance, *bucket_count};
  if (bytes != encodeIdentity(identity)) {
    return std::nullopt;
  }
  return identity;
}

}  // namespace switchsaddle::storage
