#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/membership/candidate_table.h"
#include "switchsaddle/core/membership/member_liveness.h"
#include "switchsaddle/core/membership/member_spread.h"
#include "switchsaddle/core/membership/shortfall_monitor.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::core {

/** Times of the reconciler, and the losses to tolerate. */
struct MembershipOptions {
  /** A member without a heartbeat for this long may be replaced. */
  base::Duration unresponsive_timeout = std::chrono::seconds(10);
  base::Duration check_interval = std::chrono::milliseconds(500);
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** A candidate is removed if it does not announce itself for this long. */
  base::Duration candidate_lifetime = std::chrono::seconds(3);
  /**
   * Losses to tolerate. Candidates are added to a set that is too small for them; members are
   * exchanged in a set with too few zones. If both are zero, the set keeps its initial size and
   * spread.
   */
  ToleratedLosses tolerated;
  /** A shortfall is reported after it has lasted for this long. */
  base::Duration shortfall_report_delay = std::chrono::seconds(15);
  /** Minimum interval between two forwards of one candidate's announcement. */
  base::Duration forward_interval = std::chrono::milliseconds(500);
};

/**
 * Reconciles the acceptor set with the live cores and the losses to tolerate.
 *
 * Every core records the candidates that announce themselves and forwards their announcements to
 * the members, since a new core contacts only its seeds. While this node holds the core-membership
 * lease, it sends heartbeats to the members. It replaces a member by a candidate if the member has
 * timed out, or if another instance replies at its address. If the set tolerates fewer losses than
 * configured, it adds or exchanges a member. Candidates in the zone with the fewest members are
 * preferred. At most one change of the set is in progress. Runs on the control strand.
 */
class MembershipReconciler {
 public:
  using Callback = std::function<void(base::ResultCode)>;
  /** Receives a shortfall that has lasted for the delay, and None when it has ended. */
  using ShortfallListener = std::function<void(SpreadShortfall)>;

  /** @param holds_lease evaluated right before each change of the set. */
  MembershipReconciler(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                       journal::Journal& journal, const registers::Acceptor& acceptor,
                       registers::AcceptorSetChange& change, std::function<bool()> holds_lease,
                       MembershipOptions options);
  MembershipReconciler(const MembershipReconciler&) = delete;
  MembershipReconciler& operator=(const MembershipReconciler&) = delete;

  void setShortfallListener(ShortfallListener listener) {
    shortfall_listener_ = std::move(listener);
  }
  /** Called when the lease was gained. Starts the time-outs of all members. */
  void start();
  /** Called when the lease was lost. */
  void stop();
  /** Handles the announcement of a core that is not a member. */
  void onCandidate(const wire::CoreAnnounce& announce);
  /**
   * Replaces a member at an operator's request, without waiting for its time-out.
   *
   * @param callback receives InvalidValue if `old_member` is not a member or `new_member` cannot
   * join, else the outcome of the change.
   */
  void replace(const base::NodeAddress& old_member, const base::NodeAddress& new_member,
               Callback callback);

 private:
  using CallHandler = std::function<void(const transport::CallResult&)>;

  const std::vector<wire::AcceptorMember>& members() const {
    return acceptor_.acceptorSet().members;
  }
  wire::CoreAnnounce query() const;
  void check();
  void sendHeartbeats();
  void onHeartbeatReply(const wire::AcceptorMember& member, const transport::CallResult& result);
  void updateShortfall();
  /** @return whether a replacement was started. */
  bool replaceUnresponsiveMember();
  /** @return whether the set is too small and the addition of a candidate was started. */
  bool addMissingMember();
  void spreadOverZones();
  void replaceMember(const wire::AcceptorMember& leaving, const wire::AcceptorMember& joining,
                     const Callback& callback);
  /** @return the candidate to replace a member: the one at the member's address, else the preferred
   * candidate at another address. */
  std::optional<wire::AcceptorMember> candidateFor(const wire::AcceptorMember& member) const;
  /**
   * Queries the core at an address for its instance, up to `attempts` times, since a core that has
   * just started does not reply until its store is open.
   */
  void queryInstance(const base::NodeAddress& address, std::uint32_t attempts,
                     const CallHandler& handler);
  void journalReplacement(const wire::AcceptorMember& leaving, const wire::AcceptorMember& joining,
                          base::ResultCode code);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  journal::Journal& journal_;
  const registers::Acceptor& acceptor_;
  registers::AcceptorSetChange& change_;
  std::function<bool()> holds_lease_;
  MembershipOptions options_;
  base::TimerPtr timer_;
  MemberLiveness liveness_;
  CandidateTable candidates_;
  ShortfallMonitor shortfall_;
  ShortfallListener shortfall_listener_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
