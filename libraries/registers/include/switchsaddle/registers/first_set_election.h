#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** When cores may commit a first set that no core was told of at its start. */
struct FirstSetElectionOptions {
  bool enabled = true;
  /** Losses of cores, and of zones, that the fleet tolerates at once. */
  std::uint32_t tolerated_core_losses = 0;
  std::uint32_t tolerated_zone_losses = 0;
  /** Time for which all seeds must have granted their vote in each round. */
  base::Duration calm_time = std::chrono::seconds(1);
};

/**
 * Elects the core that commits the first acceptor set of a fleet whose cores were all restarted
 * before there was one, so that none of them knows the initial cores. The candidate is the seed
 * with the lowest address, the set are the seeds.
 *
 * Invariant: no set is committed while there are acknowledged values of another set. A vote says
 * that the voter has no set and no register, that it has the same seeds, and that its process has
 * answered no other instance of the candidate. All seeds must grant it, in each round of a calm
 * time, and no losses that the fleet tolerates may have emptied all seeds at once: there must be
 * more of them than tolerated cores, in more zones than tolerated zones. Runs on the acceptor's
 * strand.
 */
class FirstSetElection {
 public:
  using WonListener = std::function<void(const std::vector<wire::AcceptorMember>& members)>;

  /** @param won called with the members of the first set. */
  FirstSetElection(base::Dispatcher& dispatcher, transport::PeerCalls& calls, Acceptor& acceptor,
                   FirstSetElectionOptions options, std::string zone, WonListener won);
  FirstSetElection(const FirstSetElection&) = delete;
  FirstSetElection& operator=(const FirstSetElection&) = delete;

  /** Replaces the cores that may form the first set. */
  void setCores(std::vector<base::NodeAddress> cores);
  /** Notes that this process has answered an announcement of the core. */
  void noteAnswered(const wire::AcceptorMember& core);
  /**
   * Asks for votes if this core is the candidate.
   * @param call_timeout timeout of each request.
   */
  void startRound(base::Duration call_timeout);

 private:
  void onRequest(const wire::FirstSetVoteRequest& request, const transport::ReplyFunction& reply);
  bool mayGrant(const wire::FirstSetVoteRequest& request) const;
  bool isCandidate() const;
  void onVote(std::uint64_t round, const wire::FirstSetVoteReply& vote);
  /** Whether all cores have voted in this round, and no tolerated loss could have emptied all. */
  bool isUnanimous() const;
  wire::AcceptorMember ownMember() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  Acceptor& acceptor_;
  FirstSetElectionOptions options_;
  std::string zone_;
  WonListener won_;
  /** In ascending order. */
  std::vector<base::NodeAddress> cores_;
  /** Instances of each core that this process has answered. */
  std::map<base::NodeAddress, std::set<std::uint64_t>> answered_;
  std::uint64_t round_ = 0;
  std::map<base::NodeAddress, wire::FirstSetVoteReply> votes_;
  /** Since when each round was unanimous. */
  std::optional<base::TimePoint> unanimous_since_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
