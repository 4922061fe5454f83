#include "switchsaddle/admission/slot_ledger.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::admission {

namespace {

/** Beyond the longest request, for clocks and timers that run late. */
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
      reservations_(
          proposer, shard,
          ReservationWriterOptions{options.reservation_step, options.reserve_before_granting,
                                   options.fence_by_term},
          [this](const QueuedSlotRequest& waiting, std::uint32_t granted) {
            answer(waiting, granted, false);
          },
          [this](const FrontIdentity& front, const std::string& branch) {
            const auto state = branches_.find(branch);
            return state != branches_.end() && state->second.allocations.contains(front);
          }),
      fence_timer_(dispatcher.createTimer([this] { fence(); })) {}

bool SlotLedger::serving() const {
  return serving_ && lease_.held() && lease_.term() == term_;
}

void SlotLedger::setLimits(std::map<std::string, std::uint32_t> limits) {
  std::erase_if(limits, [this](const auto& item) { return ledgerShardOf(item.first) != shard_; });
  limits_ = std::move(limits);
  for (const auto& [branch, slots] : limits_) {
    serveWaiting(branch);
  }
}

void SlotLedger::onLeaseGained() {
  onLeaseLost();
  term_ = lease_.term();
  fence();
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
    // Where cores refuse connections the register answers at once, so asking again takes a pause.
    fence_timer_->enable(options_.fence_pause);
    return;
  }
  const ReservationTable table = decodeReservations(outcome.value);
  if (table.term == term_) {
    takeOver(table);
  }
}

void SlotLedger::onLeaseLost() {
  fence_timer_->disable();
  serving_ = false;
  refuseNotServing();
  term_ = 0;
  branches_.clear();
}

void SlotLedger::refuseNotServing() {
  // The fronts then look for the successor at once.
  for (const QueuedSlotRequest& waiting : reservations_.endTerm()) {
    waiting.reply(wire::SlotReply{});
  }
  for (const auto& [branch, state] : branches_) {
    for (const QueuedSlotRequest& waiting : state.waiting) {
      waiting.reply(wire::SlotReply{});
    }
  }
}

void SlotLedger::takeOver(const ReservationTable& table) {
  reservations_.takeOver(table);
  for (const auto& [front, reservations] : table.reserved) {
    for (const auto& [branch, slots] : reservations) {
      branches_[branch].allocations.adoptReservation(front, slots, dispatcher_.now());
    }
    requestReport(front);
  }
  serving_ = true;
}

void SlotLedger::requestReport(const FrontIdentity& front) {
  const std::uint64_t term = term_;
  calls_.call(
      front.address, wire::SlotRecall{term, shard_, {}}, options_.recall_timeout,
      [this, alive = std::weak_ptr(alive_), front, term](const transport::CallResult& result) {
        if (alive.expired() || term != term_) {
          return;
        }
        if (result.code == base::ResultCode::PeerUnreachable) {
          dropFront(front);
        } else if (const auto* report = result.as<wire::SlotReport>()) {
          noteReport(front, *report, {});
        }
      });
}

void SlotLedger::noteReport(const FrontIdentity& front, const wire::SlotReport& report,
                            const std::string& branch) {
  if (report.front_instance != front.instance) {
    // Another process listens there now, so this one is gone and its connections are closed.
    dropFront(front);
    return;
  }
  if (!report.term_accepted) {
    return;
  }
  for (auto& [path, state] : branches_) {
    const bool asked = branch.empty() || branch == path;
    if (asked && state.allocations.contains(front)) {
      noteReportOf(path, state, front, report);
    }
  }
}

void SlotLedger::noteReportOf(const std::string& branch, BranchState& state,
                              const FrontIdentity& front, const wire::SlotReport& report) {
  const Allocation counted = state.allocations.of(front);
  const auto told = std::ranges::find(report.allocations, branch, &wire::SlotAllocation::branch);
  if (told == report.allocations.end()) {
    // A request which the report was overtaken by is later than it.
    if (counted.sequence == 0) {
      state.allocations.erase(front);
    }
  } else if (!isStale(counted, told->sequence)) {
    state.allocations.recordReport(front, *told, dispatcher_.now());
    renewWaiting(front, state, *told);
  }
}

void SlotLedger::renewWaiting(const FrontIdentity& front, BranchState& state,
                              const wire::SlotAllocation& told) {
  // What the front waits for is still wanted; a grant must stand on what it told last.
  for (QueuedSlotRequest& waiting : state.waiting) {
    if (waiting.front() == front) {
      waiting.request.sequence = told.sequence;
      waiting.request.held = told.held;
      waiting.request.in_use = told.in_use;
    }
  }
}

bool SlotLedger::isStale(const Allocation& allocation, std::uint64_t sequence) const {
  return options_.order_by_sequence && sequence <= allocation.sequence;
}

void SlotLedger::answerEarlierRequests(const FrontIdentity& front, BranchState& state) {
  const auto is_earlier = [&front](const QueuedSlotRequest& waiting) {
    return waiting.front() == front;
  };
  for (const QueuedSlotRequest& waiting : state.waiting) {
    if (is_earlier(waiting)) {
      answer(waiting, 0, false);
    }
  }
  std::erase_if(state.waiting, is_earlier);
}

void SlotLedger::dropFront(const FrontIdentity& front) {
  for (auto& [branch, state] : branches_) {
    state.allocations.noteEnded(front, dispatcher_.now());
  }
  reservations_.forget(front);
}

void SlotLedger::queryOtherInstances(const FrontIdentity& front) {
  // Which instance is the later one can't be told from a message, which may be an old one. The
  // process that answers a call now is the living one.
  for (const FrontIdentity& other : reservations_.otherInstances(front)) {
    requestReport(other);
  }
}

void SlotLedger::setLongestUse(base::Duration longest_use) {
  // Requests which began under an earlier configuration keep the time they were given.
  longest_use_ = std::max(longest_use_, longest_use);
}

base::Duration SlotLedger::unresponsiveTimeout() const {
  return std::max(options_.unresponsive_timeout, longest_use_ + TimeoutMargin);
}

void SlotLedger::onRequest(const wire::SlotRequest& request, transport::ReplyFunction reply) {
  if (!serving()) {
    reply(wire::SlotReply{});
    return;
  }
  const QueuedSlotRequest waiting{request, std::move(reply)};
  const FrontIdentity front = waiting.front();
  queryOtherInstances(front);
  BranchState& state = branches_[request.branch];
  const Allocation allocation = state.allocations.of(front);
  const bool unconfirmed = allocation.sequence == 0 && allocation.held > 0;
  if (unconfirmed && options_.confirm_after_takeover) {
    // The request may have been under way since before the predecessor's last grants.
    requestReport(front);
    answer(waiting, 0, false);
    return;
  }
  if (isStale(allocation, request.sequence)) {
    if (request.sequence < allocation.sequence) {
      answer(waiting, 0, false);
    }
    return;
  }
  state.allocations.recordReport(
      front, wire::SlotAllocation{request.branch, request.sequence, request.held, request.in_use},
      dispatcher_.now());
  answerEarlierRequests(front, state);
  if (request.held == 0 && request.wanted == 0) {
    state.allocations.erase(front);
  }
  if (request.wanted == 0) {
    answer(waiting, 0, false);
  } else {
    state.waiting.push_back(waiting);
  }
  serveWaiting(request.branch);
}

std::uint32_t SlotLedger::freeSlots(const std::string& branch) const {
  const auto limit = limits_.find(branch);
  if (limit == limits_.end()) {
    return 0;
  }
  const std::uint32_t held = allocatedSlots(branch);
  return limit->second > held ? limit->second - held : 0;
}

std::uint32_t SlotLedger::allocatedSlots(const std::string& branch) const {
  const auto state = branches_.find(branch);
  return state == branches_.end() ? 0 : state->second.allocations.held();
}

void SlotLedger::serveWaiting(const std::string& branch) {
  if (!serving()) {
    return;
  }
  BranchState& state = branches_[branch];
  state.allocations.dropEnded(dispatcher_.now() - options_.ended_front_time);
  while (!state.waiting.empty()) {
    const std::uint32_t available = freeSlots(branch);
    if (available == 0) {
      startRecall(branch);
      return;
    }
    QueuedSlotRequest waiting = std::move(state.waiting.front());
    state.waiting.pop_front();
    const std::uint32_t slots = std::min(available, waiting.request.wanted);
    grant(branch, std::move(waiting), slots);
  }
}

void SlotLedger::grant(const std::string& branch, QueuedSlotRequest waiting, std::uint32_t slots) {
  const std::uint32_t held = branches_[branch].allocations.addGrant(waiting.front(), slots);
  reservations_.grant(std::move(waiting), slots, held);
}

void SlotLedger::answer(const QueuedSlotRequest& waiting, std::uint32_t granted,
                        bool exhausted) const {
  wire::SlotReply reply;
  reply.is_ledger = true;
  reply.ledger = calls_.localAddress();
  reply.term = term_;
  reply.sequence = waiting.request.sequence;
  reply.granted = granted;
  reply.exhausted = exhausted;
  waiting.reply(std::move(reply));
}

std::vector<FrontIdentity> SlotLedger::frontsToRecall(const std::string& branch) const {
  if (!options_.recall_before_refusing) {
    return {};
  }
  std::vector<FrontIdentity> fronts = branches_.at(branch).allocations.liveHolders();
  // A recall would make void what a pending grant stands on.
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
  const std::vector<FrontIdentity> asked = frontsToRecall(branch);
  for (QueuedSlotRequest& waiting : state.waiting) {
    waiting.in_recall = true;
  }
  state.recalling = true;
  state.recalls_open = static_cast<std::uint32_t>(asked.size());
  if (asked.empty()) {
    finishRecall(branch);
    return;
  }
  for (const FrontIdentity& front : asked) {
    recall(branch, front);
  }
}

void SlotLedger::recall(const std::string& branch, const FrontIdentity& front) {
  const std::uint64_t term = term_;
  calls_.call(front.address, wire::SlotRecall{term, shard_, branch}, options_.recall_timeout,
              [this, alive = std::weak_ptr(alive_), front, branch,
               term](const transport::CallResult& result) {
                if (alive.expired() || term != term_) {
                  return;
                }
                BranchState& state = branches_[branch];
                if (result.code == base::ResultCode::PeerUnreachable) {
                  dropFront(front);
                } else if (const auto* report = result.as<wire::SlotReport>()) {
                  noteReport(front, *report, branch);
                } else {
                  state.allocations.noteUnanswered(front,
                                                   dispatcher_.now() - unresponsiveTimeout());
                }
                if (--state.recalls_open == 0) {
                  finishRecall(branch);
                }
              });
}

bool SlotLedger::allKnownInUse(const std::string& branch) const {
  const auto state = branches_.find(branch);
  const auto limit = limits_.find(branch);
  if (state == branches_.end() || limit == limits_.end()) {
    return false;
  }
  const base::TimePoint since = dispatcher_.now() - options_.evidence_age;
  return state->second.allocations.inUseSince(since) >= limit->second;
}

void SlotLedger::finishRecall(const std::string& branch) {
  BranchState& state = branches_[branch];
  state.recalling = false;
  while (!state.waiting.empty() && freeSlots(branch) > 0) {
    QueuedSlotRequest waiting = std::move(state.waiting.front());
    state.waiting.pop_front();
    const std::uint32_t slots = std::min(freeSlots(branch), waiting.request.wanted);
    grant(branch, std::move(waiting), slots);
  }
  // A grant that waits for its reservation may come to nothing.
  const bool exhausted = allKnownInUse(branch) && !reservations_.grantPending(branch);
  std::deque<QueuedSlotRequest> later;
  std::deque<QueuedSlotRequest> refused;
  for (QueuedSlotRequest& waiting : state.waiting) {
    (waiting.in_recall ? refused : later).push_back(std::move(waiting));
  }
  state.waiting = std::move(later);
  for (const QueuedSlotRequest& waiting : refused) {
    answer(waiting, 0, exhausted);
  }
  if (!state.waiting.empty()) {
    startRecall(branch);
  }
}

}  // namespace switchsaddle::admission
