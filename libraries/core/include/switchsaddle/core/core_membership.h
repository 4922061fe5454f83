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
 * The acceptor set of the local acceptor as sessions and leases count their majorities in. While a
 * change of the set is under way a quorum needs majorities of both lists. Runs on the control
 * strand.
 */
class CoreMembership : public sessions::CoreView, public lease::GranterSet {
 public:
  explicit CoreMembership(const registers::Acceptor& acceptor) : acceptor_(acceptor) {}

  std::vector<base::NodeAddress> coreAddresses() const override;
  bool quorum(const std::set<base::NodeAddress>& answered) const override;
  bool mayCampaign() const override { return acceptor_.mayVote(); }
  std::uint64_t acceptedVersion() const override { return accepted_version_; }
  bool mayVote() const override { return acceptor_.mayVote(); }
  std::uint64_t setEpoch() const override { return acceptor_.acceptorSet().epoch; }
  bool joining() const override;
  /** Whether the own instance is in the present set. */
  bool isMember() const;
  /**
   * The acceptor holds this version, synced. It may be below the one noted before: a value that a
   * higher ballot has overwritten with an older version was never committed, and a session that was
   * told to wait for it would wait for ever.
   */
  void noteAcceptedVersion(std::uint64_t version);

 private:
  const registers::Acceptor& acceptor_;
  std::uint64_t accepted_version_ = 0;
};

}  // namespace switchsaddle::core
