#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/sessions/session_client.h"
#include "switchsaddle/sessions/session_times.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::sessions {

class CoreSelection;
class GrantChain;
class RefusalGrace;

/** Identifies a front process. */
struct FrontIdentity {
  base::NodeAddress address;
  /** Random, new for each process. */
  std::uint64_t instance = 0;
  std::string zone;
};

/** Test-only deviations, each of which shows that a rule is needed. Never set in a daemon. */
struct SessionClientFaults {
  /** Counts the front limit from the receipt of the grant instead of from the request. */
  bool count_from_receipt = false;
  /** Takes the required version from the first grant of the chain. */
  bool version_of_first_grant = false;
  /** Serves without a core also if the refusals began, or resumed, after the session expired. */
  bool grace_after_gap = false;
  /** Serves even if the session is not valid. */
  bool ignore_expiry = false;
};

/**
 * A front's session, granted by a majority of cores. The front sends its renewals to one core, the
 * current one. It switches to the next core if the current one refuses the connection or exceeds
 * the core time-out; a late grant still counts. GrantChain determines the version that must be in
 * force.
 *
 * While a majority of cores refuse connections, the client continues to serve for the grace period.
 * This requires that the refusals began before the session expired and have had no gap since, and
 * that no peer has shown a newer version. state() evaluates all this by the clock when it is
 * called, so a process that resumes after a suspension finds its session expired at once. Runs on
 * the dispatcher's strand.
 */
class QuorumSessionClient : public SessionClient {
 public:
  /** Receives a newer committed version and the address of a core that can serve it. */
  using CommittedListener = std::function<void(std::uint64_t, const base::NodeAddress&)>;
  /** Adds the front's other reports to each renewal. */
  using RecordSource = std::function<void(wire::SessionRecord&)>;
  using GrantListener = std::function<void(const wire::SessionOpenReply&)>;

  /** @param seeds the cores to contact until a grant lists the acceptor set. */
  QuorumSessionClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                      base::RandomSource& random, SessionTimes times,
                      std::vector<base::NodeAddress> seeds, FrontIdentity identity,
                      SessionClientFaults faults = {});
  ~QuorumSessionClient() override;
  QuorumSessionClient(const QuorumSessionClient&) = delete;
  QuorumSessionClient& operator=(const QuorumSessionClient&) = delete;

  void setCommittedListener(CommittedListener listener) {
    committed_listener_ = std::move(listener);
  }
  void setRecordSource(RecordSource source) { record_source_ = std::move(source); }
  void setGrantListener(GrantListener listener) { grant_listener_ = std::move(listener); }
  /** Adds cores to contact, unless the session is valid. Without a valid session, the known cores
   * may all have left. */
  void setSeeds(const std::vector<base::NodeAddress>& seeds);
  void start() override;
  void close(std::function<void()> closed) override;
  SessionState state() const override;
  void setApplied(std::uint64_t version, std::uint64_t digest) override;
  /** Switches to another known core, chosen at random, from the next renewal on. */
  void switchToAnotherCore();
  /** Records a version that a peer has shown; a version above the one in force ends serving without
   * a core. */
  void observeNewerVersion(std::uint64_t version);
  const std::vector<base::NodeAddress>& coreAddresses() const override;
  const std::vector<base::NodeAddress>& frontAddresses() const override { return fronts_; }

 private:
  /** A renewal without an answer, with the timer of the core time-out. */
  struct PendingRenewal {
    base::NodeAddress core;
    base::TimerPtr timeout_timer;
  };

  // Renewals.
  void onRenewalTimer();
  /** Whether each renewal goes to all cores, since the session expires soon and some core refuses
   * connections. */
  bool renewsAtAllCores() const;
  bool renewalPending(const base::NodeAddress& core) const;
  void renewAtCurrentCore();
  void renewAtAllCores();
  void sendRenewal(const base::NodeAddress& core);

  // Answers.
  /** Switches from a core that exceeded the core time-out; a late answer still counts. */
  void onTimeout(const base::NodeAddress& core);
  void onReply(const base::NodeAddress& core, base::TimePoint requested_at,
               const transport::CallResult& result);
  void onGranted(const base::NodeAddress& core, base::TimePoint requested_at,
                 const wire::SessionOpenReply& reply);
  void updateMembership(const wire::SessionOpenReply& reply);
  void onRefused(const base::NodeAddress& core, base::TimePoint requested_at);
  void updateGrace();

  void finishClose();
  bool sessionValid() const;
  bool appliedVersionAllowed() const;
  bool newerVersionObserved() const { return newest_observed_version_ > applied_version_; }

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  SessionTimes times_;
  FrontIdentity identity_;
  SessionClientFaults faults_;
  CommittedListener committed_listener_;
  RecordSource record_source_;
  GrantListener grant_listener_;
  std::unique_ptr<CoreSelection> cores_;
  std::unique_ptr<GrantChain> grants_;
  std::unique_ptr<RefusalGrace> grace_;
  std::vector<base::NodeAddress> fronts_;
  /** Digest of the cores and fronts in the last grant that listed them. */
  std::uint64_t members_digest_ = 0;
  /** Refusals by current cores since the renewal timer last expired. */
  std::size_t consecutive_refusals_ = 0;
  /** Sequence number of the last renewal. */
  std::uint64_t sequence_ = 0;
  /** By sequence number of the renewal. */
  std::map<std::uint64_t, PendingRenewal> pending_renewals_;
  std::uint64_t applied_version_ = 0;
  std::uint64_t applied_digest_ = 0;
  /** The newest version that any peer has shown. */
  std::uint64_t newest_observed_version_ = 0;
  std::function<void()> closed_;
  bool closing_ = false;
  std::uint64_t closing_sequence_ = 0;
  base::TimePoint next_renewal_;
  base::TimerPtr renewal_timer_;
  base::TimerPtr close_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::sessions
