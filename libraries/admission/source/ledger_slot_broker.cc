#include "switchsaddle/admission/ledger_slot_broker.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::admission {

namespace {

/** Recommended delay before a retry after the branch was found full, in milliseconds. */
constexpr std::uint32_t ExhaustedRetryMs = 1'000;
/** Recommended delay before a retry after the ledger could not be reached, in milliseconds. */
constexpr std::uint32_t UnavailableRetryMs = 2'000;

}  // namespace

/** A slot in use. Its destructor releases the slot unless the broker has been destroyed. */
class LedgerSlotBroker::Permit : public SlotPermit {
 public:
  explicit Permit(std::function<void()> release) : release_(std::move(release)) {}
  ~Permit() override { release_(); }
  Permit(const Permit&) = delete;
  Permit& operator=(const Permit&) = delete;

 private:
  std::function<void()> release_;
};

LedgerSlotBroker::LedgerSlotBroker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                   std::uint64_t front_instance, CoreAddresses core_addresses,
                                   SlotBrokerOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      front_instance_(front_instance),
      options_(options),
      locator_(std::move(core_addresses)) {
  calls_.handle<wire::SlotRecall>(
      callbacks_.guard([this](const base::NodeAddress& /*from*/, const wire::SlotRecall& recall,
                              const transport::ReplyFunction& reply) { onRecall(recall, reply); }));
}

LedgerSlotBroker::BranchPool& LedgerSlotBroker::pool(const std::string& branch) {
  const auto [found, inserted] = pools_.try_emplace(branch);
  BranchPool& pool = found->second;
  if (inserted) {
    pool.deadline_timer = dispatcher_.createTimer([this, branch] { expireWaiters(branch); });
    pool.retry_timer = dispatcher_.createTimer([this, branch] { sendRequest(branch); });
    pool.idle_timer = dispatcher_.createTimer([this, branch] { sendRequest(branch); });
  }
  return pool;
}

std::uint32_t LedgerSlotBroker::inUse(const std::string& branch) const {
  const auto found = pools_.find(branch);
  return found == pools_.end() ? 0 : found->second.in_use;
}

std::vector<LedgerSlotBroker::Allocation> LedgerSlotBroker::allocations() const {
  std::vector<Allocation> allocations;
  for (const auto& [branch, pool] : pools_) {
    allocations.push_back({branch, pool.allocated, pool.in_use});
  }
  return allocations;
}

bool LedgerSlotBroker::hasValidIdle(const BranchPool& pool) const {
  return pool.allocated > pool.in_use && dispatcher_.now() - pool.sent_at <= options_.idle_validity;
}

SlotPermitPtr LedgerSlotBroker::issuePermit(const std::string& branch, BranchPool& pool) {
  ++pool.in_use;
  return std::make_unique<Permit>(callbacks_.guard([this, branch] { release(branch); }));
}

void LedgerSlotBroker::acquire(const std::string& branch,
                               std::function<void(SlotOutcome)> callback) {
  BranchPool& slots = pool(branch);
  if (hasValidIdle(slots) && slots.queue.empty()) {
    callback(SlotOutcome{base::ResultCode::Ok, issuePermit(branch, slots), 0});
    return;
  }
  if (slots.queue.size() >= options_.queue_limit) {
    callback(SlotOutcome{base::ResultCode::QueueFull, nullptr, ExhaustedRetryMs});
    return;
  }
  slots.queue.push_back(
      Waiter{std::move(callback), dispatcher_.now() + options_.acquire_deadline, slots.sequence});
  if (!slots.deadline_timer->enabled()) {
    slots.deadline_timer->enable(options_.acquire_deadline);
  }
  sendRequest(branch);
}

void LedgerSlotBroker::release(const std::string& branch) {
  BranchPool& slots = pool(branch);
  --slots.in_use;
  serveQueue(branch);
  const bool has_idle = slots.allocated > slots.in_use;
  if (has_idle && !slots.idle_timer->enabled()) {
    slots.idle_timer->enable(options_.idle_timeout);
  }
}

void LedgerSlotBroker::serveQueue(const std::string& branch) {
  BranchPool& slots = pool(branch);
  while (hasValidIdle(slots) && !slots.queue.empty()) {
    const Waiter waiter = std::move(slots.queue.front());
    slots.queue.pop_front();
    waiter.callback(SlotOutcome{base::ResultCode::Ok, issuePermit(branch, slots), 0});
  }
}

void LedgerSlotBroker::rejectRequested(const std::string& branch, std::uint64_t sequence) {
  std::deque<Waiter>& queue = pool(branch).queue;
  std::vector<Waiter> rejected;
  while (!queue.empty() && queue.front().after_sequence < sequence) {
    rejected.push_back(std::move(queue.front()));
    queue.pop_front();
  }
  for (const Waiter& waiter : rejected) {
    waiter.callback(SlotOutcome{base::ResultCode::OverBranchLimit, nullptr, ExhaustedRetryMs});
  }
}

void LedgerSlotBroker::expireWaiters(const std::string& branch) {
  BranchPool& slots = pool(branch);
  const base::TimePoint now = dispatcher_.now();
  std::vector<Waiter> expired;
  while (!slots.queue.empty() && slots.queue.front().deadline <= now) {
    expired.push_back(std::move(slots.queue.front()));
    slots.queue.pop_front();
  }
  if (!slots.queue.empty()) {
    slots.deadline_timer->enable(slots.queue.front().deadline - now);
  }
  for (const Waiter& waiter : expired) {
    waiter.callback(SlotOutcome{base::ResultCode::LimitsUnavailable, nullptr, UnavailableRetryMs});
  }
}

void LedgerSlotBroker::sendRequest(const std::string& branch) {
  BranchPool& slots = pool(branch);
  const bool has_idle = slots.allocated > slots.in_use;
  if (slots.request_in_flight || (slots.queue.empty() && !has_idle)) {
    return;
  }
  const base::NodeAddress ledger = locator_.addressOf(ledgerShardOf(branch));
  if (ledger.empty()) {
    slots.retry_timer->enable(options_.retry_delay);
    return;
  }
  const wire::SlotRequest request = nextRequest(branch, slots);
  calls_.call(ledger, request, options_.call_timeout,
              callbacks_.guard(
                  [this, branch, sequence = request.sequence](const transport::CallResult& result) {
                    onResult(branch, sequence, result);
                  }));
}

wire::SlotRequest LedgerSlotBroker::nextRequest(const std::string& branch, BranchPool& pool) {
  pool.offered = pool.allocated - pool.in_use;
  pool.allocated = pool.in_use;
  pool.sent_at = dispatcher_.now();
  pool.request_in_flight = true;
  wire::SlotRequest request;
  request.branch = branch;
  request.front_instance = front_instance_;
  request.front = calls_.localAddress();
  request.sequence = ++pool.sequence;
  request.allocated = pool.allocated;
  request.in_use = pool.in_use;
  request.requested = static_cast<std::uint32_t>(pool.queue.size());
  return request;
}

void LedgerSlotBroker::onResult(const std::string& branch, std::uint64_t sequence,
                                const transport::CallResult& result) {
  pool(branch).request_in_flight = false;
  const auto* reply = result.as<wire::SlotReply>();
  if (reply != nullptr && reply->is_ledger) {
    onLedgerReply(branch, sequence, *reply);
  } else {
    onNoLedger(branch, sequence, result);
  }
}

void LedgerSlotBroker::onNoLedger(const std::string& branch, std::uint64_t sequence,
                                  const transport::CallResult& result) {
  BranchPool& slots = pool(branch);
  const auto* reply = result.as<wire::SlotReply>();
  // After a time-out a ledger may have processed the request.
  const bool not_processed = reply != nullptr || result.code == base::ResultCode::PeerUnreachable;
  if (not_processed && sequence == slots.sequence) {
    restoreOffered(branch);
  }
  locator_.reject(ledgerShardOf(branch), reply == nullptr ? base::NodeAddress{} : reply->ledger);
  slots.retry_timer->enable(options_.retry_delay);
}

void LedgerSlotBroker::onLedgerReply(const std::string& branch, std::uint64_t sequence,
                                     const wire::SlotReply& reply) {
  BranchPool& slots = pool(branch);
  const bool current_term =
      locator_.observeTerm(ledgerShardOf(branch), reply.term) || !options_.check_terms;
  const bool current_sequence = reply.sequence == slots.sequence || !options_.check_sequences;
  const bool is_valid = current_term && current_sequence;
  if (is_valid) {
    slots.allocated += reply.granted;
    serveQueue(branch);
  }
  if (is_valid && reply.exhausted) {
    rejectRequested(branch, sequence);
  }
  if (!slots.queue.empty()) {
    const bool immediately = !is_valid || reply.granted > 0 || reply.exhausted;
    slots.retry_timer->enable(immediately ? base::Duration::zero() : options_.retry_delay);
  } else if (slots.allocated > slots.in_use) {
    slots.idle_timer->enable(options_.idle_timeout);
  }
}

void LedgerSlotBroker::restoreOffered(const std::string& branch) {
  BranchPool& slots = pool(branch);
  slots.allocated += slots.offered;
  slots.offered = 0;
  slots.sent_at = dispatcher_.now();
  serveQueue(branch);
}

wire::SlotAllocation LedgerSlotBroker::recallBranch(const std::string& branch, BranchPool& pool) {
  pool.allocated = pool.in_use;
  pool.sent_at = dispatcher_.now();
  return wire::SlotAllocation{branch, ++pool.sequence, pool.allocated, pool.in_use};
}

void LedgerSlotBroker::onRecall(const wire::SlotRecall& recall,
                                const transport::ReplyFunction& reply) {
  wire::SlotReport report;
  report.front_instance = front_instance_;
  report.term_accepted = locator_.observeTerm(recall.shard, recall.term) || !options_.check_terms;
  if (report.term_accepted) {
    for (auto& [branch, slots] : pools_) {
      const bool is_recalled =
          recall.branch.empty() ? ledgerShardOf(branch) == recall.shard : recall.branch == branch;
      if (is_recalled && slots.sequence > 0) {
        report.allocations.push_back(recallBranch(branch, slots));
      }
    }
  }
  reply(std::move(report));
}

}  // namespace switchsaddle::admission
