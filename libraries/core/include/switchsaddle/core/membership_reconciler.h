#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::core {

struct PlacedCore;

/** Times of the membership keeper. */
struct MembershipOptions {
  /** A member silent for this long may be replaced. */
  base::Duration unresponsive_timeout = std::chrono::seconds(10);
  base::Duration check_interval = std::chrono::milliseconds(500);
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** A candidate not heard of for this long is forgotten. */
  base::Duration candidate_lifetime = std::chrono::seconds(3);
  /** Cores and zones whose loss at once is to leave a majority. While the set is too small for
   * that, announced cores are added; while it lies in too few zones, members are exchanged. Both
   * zero: it stays as it was founded. */
  std::uint32_t tolerated_core_losses = 0;
  std::uint32_t tolerated_zone_losses = 0;
  /** A set that lacks cores or zones for so long is told to operators. */
  base::Duration shortfall_patience = std::chrono::seconds(15);
  /** Pause before the announcement of one candidate is passed on again. */
  base::Duration forward_pause = std::chrono::milliseconds(500);
};

/**
 * Keeps the acceptor set whole. On every core it notes the empty cores that announce themselves and
 * passes their announcements on to the members, since a new core knows only its seeds. While this
 * node holds the core-membership lease it asks each member for a sign of life, and replaces one
 * that has been silent for its bound, or at whose address another instance answers, by an announced
 * core; while the set bears fewer losses than wanted, it adds or exchanges one. Cores join in the
 * zone that has the fewest members. An operator's replacement goes the same way without waiting for
 * silence. Runs on the control strand.
 */
class MembershipReconciler {
 public:
  using Callback = std::function<void(base::ResultCode)>;
  /** Says what the set lacks for the losses to be borne; empty: nothing any more. */
  using ShortfallListener = std::function<void(const std::string& lacking)>;

  /** `holds_lease` is evaluated right before each replacement begins. */
  MembershipReconciler(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                       journal::Journal& journal, const registers::Acceptor& acceptor,
                       registers::AcceptorSetChange& change, std::function<bool()> holds_lease,
                       MembershipOptions options);
  MembershipReconciler(const MembershipReconciler&) = delete;
  MembershipReconciler& operator=(const MembershipReconciler&) = delete;

  void setShortfallListener(ShortfallListener listener) {
    shortfall_listener_ = std::move(listener);
  }
  /** The lease was gained: counts every member's silence from now. */
  void start();
  /** The lease was lost. */
  void stop();
  /** A core which is no member has announced itself. */
  void onCandidate(const wire::CoreAnnounce& announce);
  /**
   * Replaces the member at one address by the core process at another. Ok also where that has been
   * done before; InvalidValue: no member has the old address; PeerUnreachable or PeerTimeout: no
   * core answers at the new one; else the outcome of the change.
   */
  void replace(const base::NodeAddress& old_member, const base::NodeAddress& new_member,
               Callback callback);

 private:
  struct Candidate {
    wire::CoreAnnounce announce;
    base::TimePoint last_seen;
    std::optional<base::TimePoint> forwarded_at;
  };

  void check();
  void sendHeartbeats();
  void onSign(const wire::AcceptorMember& member, const transport::CallResult& result);
  /** Whether a replacement was begun. */
  bool replaceOneUnresponsive();
  /** Whether a core that the set needs was found and its joining begun. */
  bool addOneWanted();
  void spreadOverZones();
  void exchangeMember(const wire::AcceptorMember& leaving, const wire::AcceptorMember& joining);
  /** Tells of a set that has lacked cores or zones for long, and of the end of that, once each. */
  void noteShortfall();
  /** The members, with their zones as far as they have told them, but for one. */
  std::vector<PlacedCore> placedMembers(const wire::AcceptorMember* but_for = nullptr) const;
  /** The candidates at addresses that no member has. */
  std::vector<PlacedCore> candidatesElsewhere() const;
  /** The candidate for a member's place: the one at its own address, else any. */
  std::optional<wire::AcceptorMember> candidateFor(const wire::AcceptorMember& member) const;
  void forgetOldCandidates();
  /** Asks the core at an address for its instance, up to `tries` times: one that has just started
   * stays silent until its store is open. */
  void queryInstance(const base::NodeAddress& address, std::uint32_t attempts,
                     std::function<void(const transport::CallResult&)> callback);
  void journalReplacement(const wire::AcceptorMember& old_member,
                          const wire::AcceptorMember& new_member, base::ResultCode code);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  journal::Journal& journal_;
  const registers::Acceptor& acceptor_;
  registers::AcceptorSetChange& change_;
  std::function<bool()> holds_lease_;
  MembershipOptions options_;
  base::TimerPtr timer_;
  /** When each member was last heard of, or the lease gained. */
  std::map<wire::AcceptorMember, base::TimePoint> last_seen_;
  /** By instance. */
  std::map<std::uint64_t, Candidate> candidates_;
  /** Zones that members have told. */
  std::map<wire::AcceptorMember, std::string> zones_;
  ShortfallListener shortfall_listener_;
  std::optional<base::TimePoint> short_since_;
  bool shortfall_reported_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
