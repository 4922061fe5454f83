#pragma once

#include <cstdint>
#include <optional>

#include "switchsaddle/base/time.h"

namespace switchsaddle::sessions {

/** A grant as the front received it. */
struct ReceivedGrant {
  base::TimePoint requested_at;
  base::TimePoint received_at;
  base::TimePoint expires_at;
  /** Highest version that any of the cores that recorded the request had accepted. */
  std::uint64_t committed_version = 0;
};

/**
 * The front's view of its session: an unbroken chain of grants, each received before the previous
 * one expired. The required version is taken from the grant of the first request made after the
 * chain's first grant was received. All cores answer such a request after a majority has recorded
 * the session, so the version cannot be older than one committed before a read that missed the
 * session.
 */
class GrantChain {
 public:
  /** @param version_of_first_grant takes the version from the first grant; for tests only. */
  explicit GrantChain(bool version_of_first_grant)
      : version_of_first_grant_(version_of_first_grant) {}

  /** Adds a grant that has not expired. @return whether it began a new chain. */
  bool add(const ReceivedGrant& grant);
  bool valid(base::TimePoint now) const { return expires_at_ && now < *expires_at_; }
  /** @return when the chain expires or expired; std::nullopt before the first grant. */
  const std::optional<base::TimePoint>& expiresAt() const { return expires_at_; }
  /** Whether requests may be dispatched by this configuration version. */
  bool allowsVersion(std::uint64_t version) const {
    return required_version_ && version >= *required_version_;
  }

 private:
  bool version_of_first_grant_;
  std::optional<base::TimePoint> expires_at_;
  /** When the first grant of the chain was received. */
  base::TimePoint began_at_;
  /** std::nullopt until a request made after the chain's first grant is granted. */
  std::optional<std::uint64_t> required_version_;
};

}  // namespace switchsaddle::sessions
