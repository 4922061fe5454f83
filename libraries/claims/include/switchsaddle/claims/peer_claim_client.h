#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/claims/claim_client.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::claims {

/** Time limits of the claim client. */
struct ClaimClientOptions {
  /** After this time without a reply, the request is sent to the next core. */
  base::Duration core_timeout = std::chrono::milliseconds(300);
  /** Time limit of a begin or finish; then it ends with `available == false`. */
  base::Duration deadline = std::chrono::seconds(2);
  /** Delay before the next attempt after the attempts at all core nodes have failed. */
  base::Duration retry_delay = std::chrono::milliseconds(50);
};

/**
 * Sends claim requests to one core node after the other, beginning with the one that replied last.
 * After a timeout the request is sent to the next core. A late reply of an earlier core is still
 * used, and a core with an outstanding request gets no second one. Each callback is called exactly
 * once, unless the client is destroyed before. A reply with `available == false` means that the
 * request may or may not have been recorded. Runs on the dispatcher's strand.
 */
class PeerClaimClient : public ClaimClient {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  /** @param cores returns the current addresses of the core nodes; called at each attempt. */
  PeerClaimClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls, CoreAddresses cores,
                  ClaimClientOptions options = {});

  void begin(const wire::ClaimBegin& request, ClaimCallback callback) override;
  void finish(const wire::ClaimFinish& request, ClaimCallback callback) override;

 private:
  /** A begin or finish in progress. */
  struct Operation {
    wire::Message request;
    ClaimCallback callback;
    base::TimePoint deadline;
    /** Index of the core for the next attempt, modulo the number of cores. */
    std::size_t core_index = 0;
    /** Number of attempts since the last retry delay. */
    std::size_t attempts = 0;
    /** The core of the last attempt. */
    base::NodeAddress last_core;
    /** Cores with an outstanding request. */
    std::set<base::NodeAddress> outstanding;
    base::TimerPtr timeout_timer;
    base::TimerPtr retry_timer;
  };

  void startOperation(wire::Message request, ClaimCallback callback);
  void attemptNext(std::uint64_t id);
  void send(std::uint64_t id, const base::NodeAddress& core, base::Duration remaining);
  void onReply(std::uint64_t id, const base::NodeAddress& core, std::size_t core_index,
               const transport::CallResult& result);
  void skipCore(std::uint64_t id);
  void finishOperation(std::uint64_t id, const wire::ClaimReply& reply);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  CoreAddresses cores_;
  ClaimClientOptions options_;
  std::size_t preferred_core_ = 0;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, Operation> operations_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::claims
