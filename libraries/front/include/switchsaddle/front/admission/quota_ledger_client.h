#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/quota_messages.h"

namespace switchsaddle::front {

/** Decides on requests of tenants that are close to their quota. */
class QuotaAuthority {
 public:
  virtual ~QuotaAuthority() = default;
  /** Called with the decision, or with std::nullopt if no ledger could decide. */
  using Callback = std::function<void(std::optional<wire::QuotaReply>)>;
  /**
   * Requests units of a tenant's quota.
   * @param urgency the request's priority; 0 is the highest.
   */
  virtual void request(const std::string& tenant, std::uint32_t urgency, double units,
                       Callback callback) = 0;
  /** Whether a request is likely to be answered now. */
  virtual bool reachable() const = 0;
};

/**
 * Sends quota requests to the ledgers at the cores, each first to the core that last owned the
 * tenant's shard. If no core answers in time, the client is unreachable for a backoff time, so that
 * requests do not wait for cores behind a network partition.
 *
 * Invariant: each callback runs once, after request() has returned, unless the client is destroyed
 * before. Runs on the control strand.
 */
class QuotaLedgerClient : public QuotaAuthority {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  /**
   * @param instance id of this front's process.
   * @param cores returns the addresses of the cores that are known now.
   */
  QuotaLedgerClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                    std::uint64_t instance, CoreAddresses cores);

  void request(const std::string& tenant, std::uint32_t urgency, double units,
               Callback callback) override;
  bool reachable() const override;
  /** @return the highest number for which this and every earlier request has been answered or has
   * timed out. */
  std::uint64_t completedRequests() const;

 private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void sendToNextCore(const PendingRequestPtr& pending);
  void onReply(const PendingRequestPtr& pending, const transport::CallResult& result);
  void complete(const PendingRequestPtr& pending, const std::optional<wire::QuotaReply>& reply);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  std::uint64_t instance_;
  CoreAddresses cores_;
  std::uint64_t last_number_ = 0;
  /** Numbers of the requests in flight. */
  std::set<std::uint64_t> pending_;
  /** The core that last owned the ledger, by shard. */
  std::map<std::uint32_t, base::NodeAddress> ledgers_;
  /** The client is unreachable until this time. */
  base::TimePoint backoff_until_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::front
