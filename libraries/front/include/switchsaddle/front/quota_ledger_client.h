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

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/quota_messages.h"

namespace switchsaddle::front {

/** Where a request of a tenant near its quota is let in. */
class QuotaAuthority {
 public:
  virtual ~QuotaAuthority() = default;
  /** The answer; nothing where no ledger could tell. */
  using Callback = std::function<void(std::optional<wire::QuotaReply>)>;
  virtual void ask(const std::string& tenant, std::uint32_t urgency, double units,
                   Callback callback) = 0;
  /** Whether asking is worthwhile now. */
  virtual bool reachable() const = 0;
};

/**
 * Asks the quota ledgers at the cores, each at the core that answered for the tenant's shard last.
 * Where none answers in time it asks nobody for a while, so that requests don't wait for a core
 * that is cut off. Each callback runs once, after ask() has returned, unless the client is
 * destroyed before. Runs on the control strand.
 */
class QuotaLedgerClient : public QuotaAuthority {
 public:
  using CoreAddresses = std::function<std::vector<base::NodeAddress>()>;

  QuotaLedgerClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                    std::uint64_t instance, CoreAddresses cores);

  void ask(const std::string& tenant, std::uint32_t urgency, double units,
           Callback callback) override;
  bool reachable() const override;
  /** Up to this number every ask has its answer, or will be given none. */
  std::uint64_t settledRequests() const;

 private:
  struct Ask;
  using AskPtr = std::shared_ptr<Ask>;

  void attemptNext(const AskPtr& ask);
  void onAnswer(const AskPtr& ask, const transport::CallResult& result);
  void end(const AskPtr& ask, const std::optional<wire::QuotaReply>& answer);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  std::uint64_t instance_;
  CoreAddresses cores_;
  std::uint64_t last_number_ = 0;
  /** Asks under way, by number. */
  std::set<std::uint64_t> open_;
  /** The core that last was the ledger, by shard. */
  std::map<std::uint32_t, base::NodeAddress> ledgers_;
  /** Nobody is asked before. */
  base::TimePoint backoff_until_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::front
