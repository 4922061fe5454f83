#include "switchsaddle/claims/claim_value.h"

#include "switchsaddle/base/error.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::claims {

namespace {

/** Incremented whenever the layout of a stored claim changes. */
constexpr std::uint16_t LayoutVersion = 1;

/** Longer than the longest run. */
constexpr base::Duration LifetimeMargin = std::chrono::minutes(10);

/** Escapes '%' and '/' in a tenant, so that the first separator of a key ends the tenant. */
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

std::optional<base::Duration> claimLifetime(const std::string& key, const std::string& value) {
  if (!key.starts_with(registers::ClaimRegisterPrefix)) {
    return std::nullopt;
  }
  std::uint32_t lifetime_s = wire::ClaimBegin{}.lifetime_s;
  try {
    lifetime_s = decodeClaim(value).lifetime_s;
  } catch (const base::Error&) {
    // No value was accepted yet, or it is corrupt: the default lifetime applies.
  }
  return std::chrono::seconds(lifetime_s) + LifetimeMargin;
}

std::string encodeClaim(const ClaimValue& value) {
  return wire::writeRecord(LayoutVersion, value.state, value.fingerprint, value.run,
                           value.http_status, value.answer, value.lifetime_s);
}

ClaimValue decodeClaim(const std::string& bytes) {
  ClaimValue value;
  std::uint16_t layout = 0;
  wire::readRecord(bytes, layout, value.state, value.fingerprint, value.run, value.http_status,
                   value.answer, value.lifetime_s);
  if (layout != LayoutVersion) {
    throw base::Error(base::ResultCode::RecordCorrupt, "stored claim has layout version " +
                                                           std::to_string(layout) + "; expected " +
                                                           std::to_string(LayoutVersion));
  }
  if (value.state > wire::ClaimState::Unknown) {
    throw base::Error(base::ResultCode::RecordCorrupt,
                      "stored claim has an undefined state " +
                          std::to_string(static_cast<unsigned>(value.state)));
  }
  return value;
}

}  // namespace switchsaddle::claims
