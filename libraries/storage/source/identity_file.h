#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace switchsaddle::storage {

/** What is fixed when a data folder is made. */
struct Identity {
  std::uint64_t instance = 0;
  std::uint64_t bucket_count = 0;
};

/** The bytes of an identity file, with their checksum. */
std::string encodeIdentity(const Identity& identity);

/** The identity; empty where the bytes are torn or altered. */
std::optional<Identity> decodeIdentity(const std::string& bytes);

/** `value` in decimal, with leading zeros up to 20 digits, so that names sort by number. */
std::string paddedNumber(std::uint64_t value);

/** The number in 20 digits at `offset` of the name; empty where there is none. */
std::optional<std::uint64_t> parsePaddedNumber(const std::string& name, std::size_t offset);

}  // namespace switchsaddle::storage
