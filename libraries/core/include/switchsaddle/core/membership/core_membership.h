#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "switchsaddle/lease/granter_set.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/sessions/core_view.h"

namespace switchsaddle::core {

/**
 * The local acceptor's view of the acceptor set, in which sessions and leases count majorities.
 * While a change of the set is in progress, a quorum needs a majority of the previous and of the
 * next set. Runs on the control strand.
 */
class CoreMembership : public sessions::CoreView, public lease::GranterSet {
 public:
  explicit CoreMembership(const registers::Acceptor& acceptor) : acceptor_(acceptor) {}

  std::vector<base::NodeAddress> coreAddresses() const override;
  /** @return coreAddresses() without the node's own address. */
  std::vector<base::NodeAddress> peerAddresses(const base::NodeAddress& self) const;
  bool quorum(const std::set<base::NodeAddress>& replied) const override;
  bool mayCampaign() const override { return acceptor_.mayVote(); }
  std::uint64_t acceptedVersion() const override { return accepted_version_; }
  bool mayVote() const override { return acceptor_.mayVote(); }
  std::uint64_t setEpoch() const override { return acceptor_.acceptorSet().epoch; }
  bool joining() const override;
  /** @return whether this node's instance is in the present set. */
  bool isMember() const;
  /**
   * Records the version that the acceptor has accepted and synced. It may be lower than the
   * previous one: if a higher ballot replaced a value by an older version, that value was never
   * committed, and a session required to wait for it would never be granted.
   */
  void noteAcceptedVersion(std::uint64_t version);

 private:
  const registers::Acceptor& acceptor_;
  std::uint64_t accepted_version_ = 0;
};

}  // namespace switchsaddle::core
