#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** Whom a core process introduces itself to. */
struct BootstrapOptions {
  /** The cores of the fleet's first start; empty on a core that joins later. */
  std::vector<base::NodeAddress> initial_cores;
  /** Further cores that may know the acceptor set. */
  std::vector<base::NodeAddress> seeds;
  std::string zone;
  base::Duration announce_interval = std::chrono::milliseconds(250);
  base::Duration call_timeout = std::chrono::milliseconds(500);
};

/**
 * Introduces this core process while it is not a member of an acceptor set, learns the set in force
 * from whoever holds one, and settles the first set of a fleet. Only the initial core with the
 * lowest address settles it, and only once every initial core has answered one round of
 * announcements as empty; a set found anywhere wins. So a core wiped later finds the set at the
 * others and stays unadmitted. Runs on the acceptor's strand.
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
  /** Further cores that may know the acceptor set, in place of those known so far. */
  void setSeeds(std::vector<base::NodeAddress> seeds) { options_.seeds = std::move(seeds); }
  /** Called for each announcement of an instance which is not in the acceptor set held here. */
  void setCandidateListener(CandidateListener listener) { listener_ = std::move(listener); }

 private:
  void onAnnounce(const wire::CoreAnnounce& announce, const transport::ReplyFunction& reply);
  void announce();
  void onReply(std::uint64_t round, const wire::CoreAnnounceReply& reply);
  bool isFirstInitialCore() const;
  void settleFirstSet();
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
  /** The empty cores that answered the present round. */
  std::map<base::NodeAddress, wire::AcceptorMember> empty_cores_;
  /** Expires with this object, so that call callbacks do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::registers
