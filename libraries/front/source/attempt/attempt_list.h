#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/front/attempt/retry_budget.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/**
 * The attempts of one request. Counts the dispatches, records which workers the next attempt must
 * not use, and charges retries to the retry budget.
 *
 * Invariant: the budget counts one first attempt for the request, and each retry is charged to the
 * budget before it is dispatched. Runs on the control strand.
 */
class AttemptList {
 public:
  /**
   * @param budget shared by all requests of this front; outlives the list.
   * @param counters outlive the list.
   * @param service the service or pool whose budget the retries are charged to.
   */
  AttemptList(RetryBudget& budget, Counters& counters, std::string service);

  /** Counts the first attempt in the budget; later calls have no effect. */
  void countFirst();
  /**
   * Counts a dispatch, and the first attempt if it has not been counted yet. Must be called right
   * before the attempt is sent.
   */
  void beginDispatch();
  /** @return the number of dispatches so far. */
  std::uint32_t dispatched() const { return dispatched_; }

  /** @return whether acquireRetry(share) would succeed now; charges nothing. */
  bool mayRetry(double share) const;
  /**
   * Charges one retry to the budget.
   * @param share allowed retries as a share of the service's first attempts.
   * @param extra retries allowed in a window of the budget beyond the share.
   * @return whether the budget allows the retry; if not, nothing is charged.
   */
  bool acquireRetry(double share, double extra = 0);

  /** Excludes the worker from the attempts that follow. */
  void exclude(const std::string& worker) { excluded_.push_back(worker); }
  /** Excludes all workers at the address from the attempts that follow. */
  void excludeAddress(const base::NodeAddress& address) { excluded_addresses_.insert(address); }
  /** Ids of the workers that the next attempt must not use, beside those at excluded addresses. */
  const std::vector<std::string>& excluded() const { return excluded_; }
  /** @return the ids of all workers that the next attempt must not use. */
  std::vector<std::string> excludedOf(const workers::WorkerSnapshot& listed) const;

 private:
  RetryBudget& budget_;
  Counters& counters_;
  std::string service_;
  bool first_counted_ = false;
  std::uint32_t dispatched_ = 0;
  std::vector<std::string> excluded_;
  std::set<base::NodeAddress> excluded_addresses_;
};

}  // namespace switchsaddle::front
