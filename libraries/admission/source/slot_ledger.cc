#include "switchsaddle/admission/slot_ledger.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::admission {

namespace {

/** Added to the longest time of a request, to allow for clock drift and late timers. */
constexpr base::Duration TimeoutMargin = std::chrono::seconds(30);

}  // namespace

SlotLedger::SlotLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                       registers::RegisterProposer& proposer, LedgerLease& lease,
                       std::uint32_t shard, SlotLedgerOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      lease_(lease),
      shard_(shard),
      options_(options),
      branches_(options.order_by_sequence),
      recaller_(calls, shard, options.recall_timeout),
      reservations_(
          proposer, shard,
          ReservationWriterOptions{options.reservation_step, options.reserve_before_granting,
                                   options.fence_by_term},
          [this](const QueuedSlotRequest& queued, std::uint32_t granted) {
            reply(queued, granted, false);
          },
          [this](const FrontIdentity& front, const std::string& branch) {
            return branches_.isAllocated(front, branch);
          }),
      fence_timer_(dispatcher.createTimer([this] { fence(); })) {}

bool SlotLedger::serving() const {
  return serving_ && lease_.held() && lease_.term() == term_;
}

void SlotLedger::setLimits(BranchTable::Limits limits) {
  std::erase_if(limits, [this](const auto& item) { return ledgerShardOf(item.first) != shard_; });
  branches_.setLimits(std::move(limits));
  for (const auto& [branch, slots] : branches_.limits()) {
    serveQueue(branch);
  }
}

void SlotLedger::setLongestUse(base::Duration longest_use) {
  // Requests that began under an earlier configuration keep the deadline that they were given.
  longest_use_ = std::max(longest_use_, longest_use);
}

base::Duration SlotLedger::unresponsiveTimeout() const {
  return std::max(options_.unresponsive_timeout, longest_use_ + TimeoutMargin);
}

void SlotLedger::onLeaseGained() {
  onLeaseLost();
  term_ = lease_.term();
  recaller_.setTerm(term_);
  fence();
}

void SlotLedger::onLeaseLost() {
  fence_timer_->disable();
  serving_ = false;
  rejectAll();
  term_ = 0;
  recaller_.setTerm(0);
  branches_.clear();
}

void SlotLedger::fence() {
  if (!lease_.held() || lease_.term() != term_) {
    return;
  }
  reservations_.fence(term_,
                      [this](const registers::RegisterOutcome& outcome) { onFenced(outcome); });
}

void SlotLedger::onFenced(const registers::RegisterOutcome& outcome) {
  if (outcome.code != base::ResultCode::Ok) {
    // If cores refuse connections, the register fails immediately, so the retry is delayed.
    fence_timer_->enable(options_.fence_retry_delay);
    return;
  }
  const ReservationTable table = decodeReservations(outcome.value);
  if (table.term == term_) {
    adopt(table);
  }
}

void SlotLedger::adopt(const ReservationTable& table) {
  reservations_.adopt(table);
  for (const auto& [front, reservations] : table.reserved) {
    for (const auto& [branch, slots] : reservations) {
      branches_[branch].allocations.adoptReservation(front, slots, dispatcher_.now());
    }
    requestReport(front);
  }
  serving_ = true;
}

void SlotLedger::rejectAll() {
  // A reply with `is_ledger` unset makes the fronts look for the successor at once.
  for (const QueuedSlotRequest& queued : reservations_.endTerm()) {
    queued.reply(wire::SlotReply{});
  }
  for (const auto& [branch, state] : branches_.states()) {
    for (const QueuedSlotRequest& queued : state.queue) {
      queued.reply(wire::SlotReply{});
    }
  }
}

void SlotLedger::requestReport(const FrontIdentity& front) {
  recaller_.recall(front, {}, [this, front](RecallOutcome outcome, const wire::SlotReport& report) {
    applyRecall(front, {}, outcome, report);
  });
}

void SlotLedger::applyRecall(const FrontIdentity& front, const std::string& branch,
                             RecallOutcome outcome, const wire::SlotReport& report) {
  if (outcome == RecallOutcome::FrontEnded) {
    dropFront(front);
  } else if (outcome == RecallOutcome::Reported) {
    branches_.applyReport(front, report, branch, dispatcher_.now());
  }
}

void SlotLedger::dropFront(const FrontIdentity& front) {
  branches_.noteEnded(front, dispatcher_.now());
  reservations_.remove(front);
}

void SlotLedger::queryOtherInstances(const FrontIdentity& front) {
  // A message may be an old one, so it does not show which instance is the later one. The process
  // that replies to a call now is the live one.
  for (const FrontIdentity& other : reservations_.otherInstances(front)) {
    requestReport(other);
  }
}

void SlotLedger::onRequest(const wire::SlotRequest& request, transport::ReplyFunction reply_to) {
  if (!serving()) {
    reply_to(wire::SlotReply{});
    return;
  }
  const QueuedSlotRequest queued{request, std::move(reply_to)};
  const FrontIdentity front = queued.front();
  queryOtherInstances(front);
  const Allocation allocation = branches_[request.branch].allocations.of(front);
  const bool is_unconfirmed = allocation.sequence == 0 && allocation.allocated > 0;
  if (is_unconfirmed && options_.confirm_after_takeover) {
    // The request may be older than the predecessor's last grants.
    requestReport(front);
    reply(queued, 0, false);
  } else if (!branches_.isStale(allocation, request.sequence)) {
    acceptRequest(queued);
  } else if (request.sequence < allocation.sequence) {
    reply(queued, 0, false);
  }
}

void SlotLedger::acceptRequest(const QueuedSlotRequest& queued) {
  const wire::SlotRequest& request = queued.request;
  const FrontIdentity front = queued.front();
  BranchState& state = branches_[request.branch];
  state.allocations.recordReport(
      front,
      wire::SlotAllocation{request.branch, request.sequence, request.allocated, request.in_use},
      dispatcher_.now());
  replyToEarlierRequests(front, state);
  if (request.allocated == 0 && request.requested == 0) {
    state.allocations.erase(front);
  }
  if (request.requested == 0) {
    reply(queued, 0, false);
  } else {
    state.queue.push_back(queued);
  }
  serveQueue(request.branch);
}

void SlotLedger::replyToEarlierRequests(const FrontIdentity& front, BranchState& state) {
  const auto is_earlier = [&front](const QueuedSlotRequest& queued) {
    return queued.front() == front;
  };
  for (const QueuedSlotRequest& queued : state.queue) {
    if (is_earlier(queued)) {
      reply(queued, 0, false);
    }
  }
  std::erase_if(state.queue, is_earlier);
}

void SlotLedger::serveQueue(const std::string& branch) {
  if (!serving()) {
    return;
  }
  BranchState& state = branches_[branch];
  state.allocations.dropEnded(dispatcher_.now() - options_.ended_front_time);
  while (!state.queue.empty()) {
    if (branches_.freeSlots(branch) == 0) {
      startRecall(branch);
      return;
    }
    grantFirst(branch);
  }
}

void SlotLedger::grantFirst(const std::string& branch) {
  BranchState& state = branches_[branch];
  QueuedSlotRequest queued = std::move(state.queue.front());
  state.queue.pop_front();
  const std::uint32_t slots = std::min(branches_.freeSlots(branch), queued.request.requested);
  const std::uint32_t allocated = state.allocations.addGrant(queued.front(), slots);
  reservations_.grant(std::move(queued), slots, allocated);
}

void SlotLedger::reply(const QueuedSlotRequest& queued, std::uint32_t granted,
                       bool exhausted) const {
  wire::SlotReply message;
  message.is_ledger = true;
  message.ledger = calls_.localAddress();
  message.term = term_;
  message.sequence = queued.request.sequence;
  message.granted = granted;
  message.exhausted = exhausted;
  queued.reply(std::move(message));
}

std::vector<FrontIdentity> SlotLedger::frontsToRecall(const std::string& branch) {
  if (!options_.recall_before_rejecting) {
    return {};
  }
  std::vector<FrontIdentity> fronts = branches_[branch].allocations.liveFronts();
  // A recall would invalidate the report that a pending grant is based on.
  std::erase_if(fronts, [this, &branch](const FrontIdentity& front) {
    return reservations_.grantPending(branch, front);
  });
  return fronts;
}

void SlotLedger::startRecall(const std::string& branch) {
  BranchState& state = branches_[branch];
  if (state.recalling) {
    return;
  }
  const std::vector<FrontIdentity> fronts = frontsToRecall(branch);
  for (QueuedSlotRequest& queued : state.queue) {
    queued.in_recall = true;
  }
  state.recalling = true;
  state.pending_recalls = static_cast<std::uint32_t>(fronts.size());
  if (fronts.empty()) {
    finishRecall(branch);
    return;
  }
  for (const FrontIdentity& front : fronts) {
    recall(branch, front);
  }
}

void SlotLedger::recall(const std::string& branch, const FrontIdentity& front) {
  recaller_.recall(
      front, branch, [this, front, branch](RecallOutcome outcome, const wire::SlotReport& report) {
        BranchState& state = branches_[branch];
        applyRecall(front, branch, outcome, report);
        if (outcome == RecallOutcome::TimedOut) {
          state.allocations.noteTimedOut(front, dispatcher_.now() - unresponsiveTimeout());
        }
        if (--state.pending_recalls == 0) {
          finishRecall(branch);
        }
      });
}

void SlotLedger::finishRecall(const std::string& branch) {
  BranchState& state = branches_[branch];
  state.recalling = false;
  while (!state.queue.empty() && branches_.freeSlots(branch) > 0) {
    grantFirst(branch);
  }
  rejectRecalled(branch);
  if (!state.queue.empty()) {
    startRecall(branch);
  }
}

void SlotLedger::rejectRecalled(const std::string& branch) {
  BranchState& state = branches_[branch];
  // A grant that waits for its reservation may fail, so the branch is not known to be full then.
  const bool exhausted = branches_.isExhausted(branch, dispatcher_.now() - options_.evidence_age) &&
                         !reservations_.grantPending(branch);
  std::deque<QueuedSlotRequest> later;
  std::deque<QueuedSlotRequest> rejected;
  for (QueuedSlotRequest& queued : state.queue) {
    (queued.in_recall ? rejected : later).push_back(std::move(queued));
  }
  state.queue = std::move(later);
  for (const QueuedSlotRequest& queued : rejected) {
    reply(queued, 0, exhausted);
  }
}

}  // namespace switchsaddle::admission
