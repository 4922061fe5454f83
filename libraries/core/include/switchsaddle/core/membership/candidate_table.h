#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/core/membership/member_spread.h"
#include "switchsaddle/wire/control_messages.h"

namespace switchsaddle::core {

/**
 * The cores that could join the acceptor set: those that announced themselves recently and are not
 * members. Runs on the control strand.
 */
class CandidateTable {
 public:
  using Members = std::vector<wire::AcceptorMember>;

  /** @param lifetime a candidate is removed if it does not announce itself for this long. */
  explicit CandidateTable(base::Duration lifetime) : lifetime_(lifetime) {}

  /** Records a candidate's own announcement. */
  void update(const wire::CoreAnnounce& announce, base::TimePoint now);
  /** Records a candidate found at a member's address. Its announcement counts as never forwarded.
   */
  void insert(const wire::CoreAnnounce& announce, base::TimePoint now);
  void removeExpired(base::TimePoint now);
  /** @return whether the candidate's announcement was forwarded less than `interval` ago. */
  bool forwardedWithin(std::uint64_t instance, base::Duration interval, base::TimePoint now) const;
  void noteForwarded(std::uint64_t instance, base::TimePoint now);

  /** @return the candidates whose address is not that of a member. */
  std::vector<PlacedCore> atOtherAddresses(const Members& members) const;
  /** @return a candidate at the address that is not a member; its process has replaced the member
   * there. */
  std::optional<wire::AcceptorMember> atAddress(const base::NodeAddress& address,
                                                const Members& members) const;

 private:
  struct Candidate {
    wire::CoreAnnounce announce;
    base::TimePoint last_seen;
    std::optional<base::TimePoint> forwarded_at;
  };

  base::Duration lifetime_;
  /** By instance. */
  std::map<std::uint64_t, Candidate> candidates_;
};

}  // namespace switchsaddle::core
