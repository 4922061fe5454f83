#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/first_set_election.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** Peers and intervals for the time in which a core process is not a member of an acceptor set. */
struct BootstrapOptions {
  /** The cores of the fleet's first start; empty on a core that is started later. */
  std::vector<base::NodeAddress> initial_cores;
  /** Further cores that may have the acceptor set. */
  std::vector<base::NodeAddress> seeds;
  std::string zone;
  base::Duration announce_interval = std::chrono::milliseconds(250);
  /** Timeout of each request. */
  base::Duration call_timeout = std::chrono::milliseconds(500);
  /** The first set of a fleet in which no core knows the initial cores any more. */
  FirstSetElectionOptions election;
  /** Tells a restarted core nothing of the initial cores. For tests only: no set may form. */
  bool test_withhold_initial_cores = false;
};

/**
 * Announces this core process to its peers while it is not a member of an acceptor set, adopts the
 * set in force from any peer that has one, and commits the first set of a fleet. Only the initial
 * core with the lowest address (the committer) commits it, and only once every initial core has
 * answered the same round of announcements and none has any state. A set that any peer has takes
 * precedence. Therefore a core whose data folder was wiped adopts its peers' set, of which its new
 * instance is not a member.
 *
 * A committer that was restarted before there was a set learns the initial cores from those that
 * know them since the first start. Invariant: an instance of the committer learns them only from a
 * core that has answered no other instance of it. Since a first set needs the answers of all
 * initial cores, no other instance has committed one. If no core knows them any more,
 * FirstSetElection decides. From every state before the first set, one is committed once all
 * initial cores run, unless one of them has lost its disk. Runs on the acceptor's strand.
 */
class Bootstrap {
 public:
  using CandidateListener = std::function<void(const wire::CoreAnnounce& candidate)>;

  Bootstrap(base::Dispatcher& dispatcher, transport::PeerCalls& calls, Acceptor& acceptor,
            BootstrapOptions options);
  Bootstrap(const Bootstrap&) = delete;
  Bootstrap& operator=(const Bootstrap&) = delete;

  /** Starts the announcements; called once. */
  void start();
  /** Replaces the further cores that may have the acceptor set. */
  void setSeeds(std::vector<base::NodeAddress> seeds);
  /** @param listener called for each announcement of an instance that is not in the acceptor set.
   */
  void setCandidateListener(CandidateListener listener) { listener_ = std::move(listener); }

 private:
  void onAnnounce(const wire::CoreAnnounce& announce, const transport::ReplyFunction& reply);
  void announce();
  void onReply(std::uint64_t round, const wire::CoreAnnounceReply& reply);
  /** @return the initial core that commits the first set; none if this core knows no initial cores.
   */
  std::optional<base::NodeAddress> committer() const;
  /** Tells the committer the initial cores, unless another instance of it may have committed a set.
   */
  void offerInitialCores(const wire::AcceptorMember& committer);
  void onInitialCores(const wire::InitialCores& cores);
  void commitFirstSet();
  void commit(const std::vector<wire::AcceptorMember>& members);
  void publish(const wire::AcceptorSet& set);
  wire::AcceptorMember ownMember() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  Acceptor& acceptor_;
  BootstrapOptions options_;
  CandidateListener listener_;
  base::TimerPtr timer_;
  /** Numbers the rounds of announcements. */
  std::uint64_t round_ = 0;
  /** Instances of the committer whose announcements this process answered. */
  std::set<std::uint64_t> answered_committers_;
  /** The cores without state that answered the current round. */
  std::map<base::NodeAddress, wire::AcceptorMember> empty_cores_;
  FirstSetElection election_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
