#include "switchsaddle/claims/claim_value.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::claims {

namespace {

/** Raised whenever the layout of a stored claim changes. */
constexpr std::uint16_t LayoutVersion = 1;

template <class Archive, class Value>
void archiveFields(Archive& archive, Value& value) {
  archive(value.state, value.fingerprint, value.run, value.http_status, value.answer,
          value.lifetime_s);
}

/** The tenant with '%' and '/' escaped, so that the separator after it is the first one. */
std::string escapeTenant(const std::string& tenant) {
  std::string escaped;
  for (const char character : tenant) {
    if (character == '%') {
      escaped += "%25";
    } else if (character == '/') {
      escaped += "%2F";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

}  // namespace

std::string claimKey(const std::string& tenant, const std::string& idempotency_key) {
  return registers::ClaimRegisterPrefix + escapeTenant(tenant) + '/' + idempotency_key;
}

std::string encodeClaim(const ClaimValue& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(LayoutVersion);
    archiveFields(archive, value);
  }
  return std::move(stream).str();
}

ClaimValue decodeClaim(const std::string& bytes) {
  ClaimValue value;
  std::uint16_t layout = 0;
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    archive(layout);
    archiveFields(archive, value);
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::RecordCorrupt, exception.what());
  }
  if (layout != LayoutVersion) {
    throw base::Error(base::ResultCode::RecordCorrupt, "claim is of another layout");
  }
  return value;
}

}  // namespace switchsaddle::claims
