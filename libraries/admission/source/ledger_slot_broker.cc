#include "switchsaddle/admission/ledger_slot_broker.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::admission {

namespace {

/** When asking again is worthwhile after the branch was found full, in milliseconds. */
constexpr std::uint32_t ExhaustedRetryMs = 1'000;
/** The same after the ledger could not be reached. */
constexpr std::uint32_t UnavailableRetryMs = 2'000;

}  // namespace

/** A slot in use; gives it back to the broker unless that is gone. */
class LedgerSlotBroker::Hold : public SlotPermit {
 public:
  Hold(LedgerSlotBroker& broker, std::string branch)
      : broker_(broker), alive_(broker.alive_), branch_(std::move(branch)) {}
  ~Hold() override {
    if (!alive_.expired()) {
      broker_.release(branch_);
    }
  }

 private:
  LedgerSlotBroker& broker_;
  std::weak_ptr<bool> alive_;
  std::string branch_;
};

LedgerSlotBroker::LedgerSlotBroker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                   std::uint64_t front_instance, CoreAddresses core_addresses,
                                   SlotBrokerOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      front_instance_(front_instance),
      core_addresses_(std::move(core_addresses)),
      options_(options) {
  calls_.handle<wire::SlotRecall>(
      [this, alive = std::weak_ptr(alive_)](const base::NodeAddress& /*from*/,
                                            const wire::SlotRecall& recall,
                                            const transport::ReplyFunction& reply) {
        if (!alive.expired()) {
          onRecall(recall, reply);
        }
      });
}

LedgerSlotBroker::~LedgerSlotBroker() {
  alive_.reset();
}

LedgerSlotBroker::BranchPool& LedgerSlotBroker::pool(const std::string& branch) {
  const auto [found, inserted] = pools_.try_emplace(branch);
  BranchPool& made = found->second;
  if (inserted) {
    made.deadline_timer = dispatcher_.createTimer([this, branch] { expireWaiting(branch); });
    made.retry_timer = dispatcher_.createTimer([this, branch] { ask(branch); });
    made.idle_timer = dispatcher_.createTimer([this, branch] { ask(branch); });
  }
  return made;
}

std::uint32_t LedgerSlotBroker::inUse(const std::string& branch) const {
  const auto found = pools_.find(branch);
  return found == pools_.end() ? 0 : found->second.in_use;
}

std::vector<LedgerSlotBroker::Allocation> LedgerSlotBroker::allocations() const {
  std::vector<Allocation> allocations;
  for (const auto& [branch, pool] : pools_) {
    allocations.push_back({branch, pool.held, pool.in_use});
  }
  return allocations;
}

std::map<std::uint32_t, std::uint64_t> LedgerSlotBroker::ledgerTerms() const {
  std::map<std::uint32_t, std::uint64_t> terms;
  for (const auto& [shard, state] : shards_) {
    terms[shard] = state.term;
  }
  return terms;
}

bool LedgerSlotBroker::hasIdle(const BranchPool& pool) const {
  return pool.held > pool.in_use && dispatcher_.now() - pool.sent_at <= options_.idle_validity;
}

SlotPermitPtr LedgerSlotBroker::take(const std::string& branch, BranchPool& pool) {
  ++pool.in_use;
  return std::make_unique<Hold>(*this, branch);
}

void LedgerSlotBroker::acquire(const std::string& branch,
                               std::function<void(SlotOutcome)> callback) {
  BranchPool& slots = pool(branch);
  if (hasIdle(slots) && slots.waiting.empty()) {
    callback(SlotOutcome{base::ResultCode::Ok, take(branch, slots), 0});
    return;
  }
  if (slots.waiting.size() >= options_.waiting_limit) {
    callback(SlotOutcome{base::ResultCode::QueueFull, nullptr, ExhaustedRetryMs});
    return;
  }
  slots.waiting.push_back(
      Waiter{std::move(callback), dispatcher_.now() + options_.acquire_deadline, slots.sequence});
  if (!slots.deadline_timer->enabled()) {
    slots.deadline_timer->enable(options_.acquire_deadline);
  }
  ask(branch);
}

void LedgerSlotBroker::release(const std::string& branch) {
  BranchPool& slots = pool(branch);
  --slots.in_use;
  serveWaiting(branch);
  const bool idle = slots.held > slots.in_use;
  if (idle && !slots.idle_timer->enabled()) {
    slots.idle_timer->enable(options_.idle_time);
  }
}

void LedgerSlotBroker::serveWaiting(const std::string& branch) {
  BranchPool& slots = pool(branch);
  while (hasIdle(slots) && !slots.waiting.empty()) {
    const Waiter waiter = std::move(slots.waiting.front());
    slots.waiting.pop_front();
    waiter.callback(SlotOutcome{base::ResultCode::Ok, take(branch, slots), 0});
  }
}

void LedgerSlotBroker::rejectRequested(const std::string& branch, std::uint64_t sequence) {
  std::deque<Waiter>& waiting = pool(branch).waiting;
  std::vector<Waiter> refused;
  while (!waiting.empty() && waiting.front().after_sequence < sequence) {
    refused.push_back(std::move(waiting.front()));
    waiting.pop_front();
  }
  for (const Waiter& waiter : refused) {
    waiter.callback(SlotOutcome{base::ResultCode::OverBranchLimit, nullptr, ExhaustedRetryMs});
  }
}

void LedgerSlotBroker::expireWaiting(const std::string& branch) {
  BranchPool& slots = pool(branch);
  const base::TimePoint now = dispatcher_.now();
  std::vector<Waiter> expired;
  while (!slots.waiting.empty() && slots.waiting.front().deadline <= now) {
    expired.push_back(std::move(slots.waiting.front()));
    slots.waiting.pop_front();
  }
  if (!slots.waiting.empty()) {
    slots.deadline_timer->enable(slots.waiting.front().deadline - now);
  }
  for (const Waiter& waiter : expired) {
    waiter.callback(SlotOutcome{base::ResultCode::LimitsUnavailable, nullptr, UnavailableRetryMs});
  }
}

base::NodeAddress LedgerSlotBroker::ledgerAddress(std::uint32_t shard) {
  ShardState& state = shards_[shard];
  if (state.ledger.empty()) {
    const std::vector<base::NodeAddress> cores = core_addresses_();
    if (!cores.empty()) {
      state.ledger = cores[(state.next_core + shard) % cores.size()];
    }
  }
  return state.ledger;
}

void LedgerSlotBroker::selectNextCore(std::uint32_t shard) {
  ShardState& state = shards_[shard];
  state.ledger = {};
  ++state.next_core;
}

void LedgerSlotBroker::ask(const std::string& branch) {
  BranchPool& slots = pool(branch);
  const bool has_idle = slots.held > slots.in_use;
  if (slots.asking || (slots.waiting.empty() && !has_idle)) {
    return;
  }
  const base::NodeAddress ledger = ledgerAddress(ledgerShardOf(branch));
  if (ledger.empty()) {
    slots.retry_timer->enable(options_.retry_pause);
    return;
  }
  slots.offered = slots.held - slots.in_use;
  slots.held = slots.in_use;
  slots.sent_at = dispatcher_.now();
  slots.asking = true;
  wire::SlotRequest request;
  request.branch = branch;
  request.front_instance = front_instance_;
  request.front = calls_.localAddress();
  request.sequence = ++slots.sequence;
  request.held = slots.held;
  request.in_use = slots.in_use;
  request.wanted = static_cast<std::uint32_t>(slots.waiting.size());
  calls_.call(ledger, request, options_.call_timeout,
              [this, alive = std::weak_ptr(alive_), branch,
               sequence = request.sequence](const transport::CallResult& result) {
                if (!alive.expired()) {
                  onReply(branch, sequence, result);
                }
              });
}

void LedgerSlotBroker::onReply(const std::string& branch, std::uint64_t sequence,
                               const transport::CallResult& result) {
  BranchPool& slots = pool(branch);
  slots.asking = false;
  const std::uint32_t shard = ledgerShardOf(branch);
  ShardState& state = shards_[shard];
  const auto* reply = result.as<wire::SlotReply>();
  if (reply == nullptr || !reply->is_ledger) {
    const bool not_heard = reply != nullptr || result.code == base::ResultCode::PeerUnreachable;
    if (not_heard && sequence == slots.sequence) {
      keepOffered(branch);
    }
    selectNextCore(shard);
    if (reply != nullptr && !reply->ledger.empty()) {
      state.ledger = reply->ledger;
    }
    slots.retry_timer->enable(options_.retry_pause);
    return;
  }
  const bool current_term = reply->term >= state.term || !options_.check_terms;
  state.term = std::max(state.term, reply->term);
  const bool is_void =
      !current_term || (reply->sequence != slots.sequence && options_.check_sequences);
  if (!is_void) {
    slots.held += reply->granted;
    serveWaiting(branch);
  }
  if (!is_void && reply->exhausted) {
    rejectRequested(branch, sequence);
  }
  if (!slots.waiting.empty()) {
    const bool at_once = is_void || reply->granted > 0 || reply->exhausted;
    slots.retry_timer->enable(at_once ? base::Duration::zero() : options_.retry_pause);
  } else if (slots.held > slots.in_use) {
    slots.idle_timer->enable(options_.idle_time);
  }
}

void LedgerSlotBroker::keepOffered(const std::string& branch) {
  BranchPool& slots = pool(branch);
  slots.held += slots.offered;
  slots.offered = 0;
  slots.sent_at = dispatcher_.now();
  serveWaiting(branch);
}

wire::SlotAllocation LedgerSlotBroker::recallBranch(const std::string& branch, BranchPool& pool) {
  // A reply still under way is made void by the new sequence.
  pool.held = pool.in_use;
  pool.sent_at = dispatcher_.now();
  return wire::SlotAllocation{branch, ++pool.sequence, pool.held, pool.in_use};
}

void LedgerSlotBroker::onRecall(const wire::SlotRecall& recall,
                                const transport::ReplyFunction& reply) {
  wire::SlotReport report;
  report.front_instance = front_instance_;
  ShardState& state = shards_[recall.shard];
  report.term_accepted = recall.term >= state.term || !options_.check_terms;
  if (report.term_accepted) {
    state.term = std::max(state.term, recall.term);
    for (auto& [branch, slots] : pools_) {
      const bool asked =
          recall.branch.empty() ? ledgerShardOf(branch) == recall.shard : recall.branch == branch;
      if (asked && slots.sequence > 0) {
        report.allocations.push_back(recallBranch(branch, slots));
      }
    }
  }
  reply(std::move(report));
}

}  // namespace switchsaddle::admission
