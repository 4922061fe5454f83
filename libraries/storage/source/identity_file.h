#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace switchsaddle::storage {

/** What is fixed when a data folder is created. */
struct Identity {
  std::uint64_t instance = 0;
  std::uint64_t bucket_count = 0;
};

/** @return the bytes of an identity file, with their checksum. */
std::string encodeIdentity(const Identity& identity);

/** @return the identity, or std::nullopt if the bytes are incomplete or altered. */
std::optional<Identity> decodeIdentity(const std::string& bytes);

/** Number of digits of a padded number. */
inline constexpr std::size_t PaddedNumberDigits = 20;

/** @return `value` in decimal with leading zeros, so that names sort by number. */
std::string paddedNumber(std::uint64_t value);

/** @return the padded number at `offset` of the name, or std::nullopt if there is none. */
std::optional<std::uint64_t> parsePaddedNumber(const std::string& name, std::size_t offset);

}  // namespace switchsaddle::storage
