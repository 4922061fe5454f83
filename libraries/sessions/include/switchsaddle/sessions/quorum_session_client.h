#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/sessions/session_client.h"
#include "switchsaddle/sessions/session_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::sessions {

/** Who a front process is. */
struct FrontIdentity {
  base::NodeAddress address;
  /** Random, new for each process. */
  std::uint64_t instance = 0;
  std::string zone;
};

/** Test-only deviations that show that a rule is needed; never set in a daemon. */
struct SessionClientFaults {
  /** Counts the limit from receipt of the grant, not from the moment of asking. */
  bool count_from_receipt = false;
  /** Takes the version to be in force from the very first grant. */
  bool version_of_first_grant = false;
  /** Serves without a core on refusals which began, or began again, after the lapse. */
  bool grace_after_gap = false;
  /** Serves whether or not the session is valid. */
  bool ignore_lapse = false;
};

/**
 * A front's session, granted by a majority of cores through one of them.
 *
 * A session is an unbroken chain of grants, each received before the one before it ended. The
 * version that must be in force is taken from the first request made after the chain's first grant
 * was received: only then do all cores asked for it answer after a majority knew the session.
 *
 * While a majority of cores refuse connections the client serves on within the grace, provided that
 * the refusals began before the session lapsed and have never had a gap since. All this is judged
 * by the clock at the moment of asking, so that a process woken from a freeze is lapsed at once.
 * Runs on the dispatcher's strand.
 */
class QuorumSessionClient : public SessionClient {
 public:
  /** Told of a newer committed version and a core address that can serve it. */
  using CommittedListener = std::function<void(std::uint64_t, const base::NodeAddress&)>;

  QuorumSessionClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                      base::RandomSource& random, SessionTimes times,
                      std::vector<base::NodeAddress> seeds, FrontIdentity identity,
                      SessionClientFaults faults = {});

  void setCommittedListener(CommittedListener listener) { listener_ = std::move(listener); }
  /** Adds to each renewal what else the cores are to hear, and hears what they say in return. */
  using RecordSource = std::function<void(wire::SessionRecord&)>;
  using GrantListener = std::function<void(const wire::SessionOpenReply&)>;
  void setRecordSource(RecordSource source) { record_source_ = std::move(source); }
  void setGrantListener(GrantListener listener) { grant_listener_ = std::move(listener); }
  /** Replaces the cores asked while none is known from a grant. */
  void setSeeds(std::vector<base::NodeAddress> seeds);
  void start() override;
  void close(std::function<void()> closed) override;
  SessionState state() const override;
  void setApplied(std::uint64_t version, std::uint64_t digest) override;
  /** Renews by another of the known cores, drawn at random, from the next renewal on. */
  void turnToAnotherCore();
  /** A peer has shown this version; one newer than that in force ends serving without a core. */
  void noteNewerVersionSeen(std::uint64_t version);
  const std::vector<base::NodeAddress>& coreAddresses() const override { return cores_; }
  const std::vector<base::NodeAddress>& frontAddresses() const override { return fronts_; }

 private:
  void tick();
  /** Whether renewals fail and some core refuses, so that every core is asked at each tick. */
  bool degraded() const;
  void ask();
  void renewAtAllCores();
  /** Renews at the present core, unless it still owes an answer: cores that are late are not to get
   * the more to do. */
  void renew();
  void sendRenewal(const base::NodeAddress& core);
  /** A core has not answered within the silence bound; its answer still counts if it comes. */
  void onTimeout(const base::NodeAddress& core);
  void onReply(const base::NodeAddress& core, base::TimePoint requested_at,
               const transport::CallResult& result);
  void onGranted(const base::NodeAddress& core, base::TimePoint requested_at,
                 const wire::SessionOpenReply& reply);
  void learn(const wire::SessionOpenReply& reply);
  void onRefused(const base::NodeAddress& core, base::TimePoint requested_at);
  void updateGrace();
  void endGrace();
  /** Turns to the next core; false where this was not the present one. */
  bool passOver(const base::NodeAddress& core);
  void finishClose();
  bool sessionValid() const;
  bool inForce() const;

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  SessionTimes times_;
  std::vector<base::NodeAddress> seeds_;
  FrontIdentity identity_;
  SessionClientFaults faults_;
  CommittedListener listener_;
  RecordSource record_source_;
  GrantListener grant_listener_;
  std::vector<base::NodeAddress> cores_;
  std::vector<base::NodeAddress> fronts_;
  /** Digest of the cores and fronts as last learnt. */
  std::uint64_t members_digest_ = 0;
  std::size_t core_index_ = 0;
  std::size_t refused_in_a_row_ = 0;
  std::uint64_t sequence_ = 0;
  /** An ask that has had no answer yet, and the timer of its silence bound. */
  struct Ask {
    base::NodeAddress core;
    base::TimerPtr response_timer;
  };
  std::map<std::uint64_t, Ask> unanswered_;
  std::uint64_t applied_version_ = 0;
  std::uint64_t applied_digest_ = 0;
  /** The newest version any peer has shown. */
  std::uint64_t newest_seen_ = 0;
  /** The end of the last grant, and when the first grant of its chain was received. */
  std::optional<base::TimePoint> granted_until_;
  base::TimePoint chain_granted_at_;
  /** The version that must be in force; unset until the chain's second request is granted. */
  std::optional<std::uint64_t> required_version_;
  /** Refusing cores, with the moment each was last asked. */
  std::map<base::NodeAddress, base::TimePoint> refusals_;
  /** Set while refusals have been unbroken since before the lapse: until when they count. */
  std::optional<base::TimePoint> refusals_cover_until_;
  std::function<void()> closed_;
  bool closing_ = false;
  std::uint64_t closing_sequence_ = 0;
  base::TimePoint next_tick_;
  base::TimerPtr tick_timer_;
  base::TimerPtr close_timer_;
  /** Expires with this object, so that late callbacks find it gone. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::sessions
