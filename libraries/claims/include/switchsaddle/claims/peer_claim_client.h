#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/claims/claim_client.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::claims {

/** Bounds of the claim client. */
struct ClaimClientOptions {
  /** A core node silent for this long is passed over for the next. */
  base::Duration core_timeout = std::chrono::milliseconds(300);
  /** The whole of a begin or finish; then it is answered as unavailable. */
  base::Duration deadline = std::chrono::seconds(2);
  /** Pause after all core nodes have been asked in vain. */
  base::Duration pause = std::chrono::milliseconds(50);
};

/**
 * Asks core nodes in turn for claims, beginning with the one that answered last. One that is silent
 * is passed over, but its answer counts if it comes, and it is not asked again before. Each
 * callback runs exactly once unless the client is destroyed before. An answer `available == false`
 * means that the request may or may not be recorded. Runs on the dispatcher's strand.
 */
class PeerClaimClient : public ClaimClient {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  /** `cores` is asked at each try for the core nodes known now. */
  PeerClaimClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls, CoreAddresses cores,
                  ClaimClientOptions options = {});

  void begin(const wire::ClaimBegin& request, ClaimCallback callback) override;
  void finish(const wire::ClaimFinish& request, ClaimCallback callback) override;

 private:
  struct Operation {
    wire::Message request;
    ClaimCallback callback;
    base::TimePoint deadline;
    std::size_t core = 0;
    std::size_t attempts_in_round = 0;
    /** The core asked last. */
    base::NodeAddress present;
    /** Cores that have not answered yet. */
    std::set<base::NodeAddress> owing;
    base::TimerPtr silence;
    base::TimerPtr pause;
  };

  void startOperation(wire::Message request, ClaimCallback callback);
  void attemptNext(std::uint64_t id);
  void ask(std::uint64_t id, const base::NodeAddress& core, base::Duration left);
  void onAnswer(std::uint64_t id, const base::NodeAddress& core, std::size_t index,
                const transport::CallResult& result);
  void passOver(std::uint64_t id);
  void end(std::uint64_t id, const wire::ClaimReply& reply);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  CoreAddresses cores_;
  ClaimClientOptions options_;
  std::size_t preferred_core_ = 0;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, Operation> operations_;
  /** Expires with this object, so that answers do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::claims
