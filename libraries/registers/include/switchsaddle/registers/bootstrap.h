#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** Peers and intervals for the time in which a core process is not a member of an acceptor set. */
struct BootstrapOptions {
  /** The cores of the fleet's first start; empty on a core that joins later. */
  std::vector<base::NodeAddress> initial_cores;
  /** Further cores that may have the acceptor set. */
  std::vector<base::NodeAddress> seeds;
  std::string zone;
  base::Duration announce_interval = std::chrono::milliseconds(250);
  /** Timeout of each request. */
  base::Duration call_timeout = std::chrono::milliseconds(500);
};

/**
 * Announces this core process to its peers while it is not a member of an acceptor set, adopts the
 * set in force from any peer that has one, and commits the first set of a fleet. Only the initial
 * core with the lowest address commits it, and only once every initial core has answered the same
 * round of announcements and none has any state. A set that any peer has takes precedence.
 * Therefore a core whose data folder was wiped adopts its peers' set, of which its new instance is
 * not a member. Runs on the acceptor's strand.
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
  void setSeeds(std::vector<base::NodeAddress> seeds) { options_.seeds = std::move(seeds); }
  /** @param listener called for each announcement of an instance that is not in the acceptor set.
   */
  void setCandidateListener(CandidateListener listener) { listener_ = std::move(listener); }

 private:
  void onAnnounce(const wire::CoreAnnounce& announce, const transport::ReplyFunction& reply);
  void announce();
  void onReply(std::uint64_t round, const wire::CoreAnnounceReply& reply);
  bool isFirstInitialCore() const;
  void commitFirstSet();
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
  /** The cores without state that answered the current round. */
  std::map<base::NodeAddress, wire::AcceptorMember> empty_cores_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
