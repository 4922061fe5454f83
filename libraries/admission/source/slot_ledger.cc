#include "switchsaddle/admission/slot_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::admission {

namespace {

/** Beyond the longest request, for clocks and timers that run late. */
constexpr base::Duration SilenceMargin = std::chrono::seconds(30);

FrontIdentity identityOf(const wire::SlotRequest& request) {
  return FrontIdentity{request.front, request.front_instance};
}

}  // namespace

SlotLedger::SlotLedger(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                       registers::RegisterProposer& proposer, LedgerLease& lease,
                       std::uint32_t shard, SlotLedgerOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      proposer_(proposer),
      lease_(lease),
      shard_(shard),
      options_(options),
      fence_timer_(dispatcher.createTimer([this] { fence(); })) {}

std::string SlotLedger::registerKey() const {
  return "ledger/" + std::to_string(shard_);
}

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
  const std::uint64_t term = term_;
  const auto raise_term = [term](const std::string& present) -> std::optional<std::string> {
    ReservationTable table = decodeReservations(present);
    if (table.term >= term) {
      return std::nullopt;
    }
    table.term = term;
    return encodeReservations(table);
  };
  proposer_.change(
      registerKey(), raise_term,
      [this, alive = std::weak_ptr(alive_), term](const registers::RegisterOutcome& outcome) {
        if (!alive.expired() && term == term_) {
          onFenced(outcome);
        }
      });
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
  writing_ = false;
  pending_grants_.clear();
  branches_.clear();
}

void SlotLedger::refuseNotServing() {
  // The fronts then look for the successor at once.
  for (const PendingGrant& pending : pending_grants_) {
    pending.waiting.reply(wire::SlotReply{});
  }
  for (const auto& [branch, state] : branches_) {
    for (const Waiting& waiting : state.waiting) {
      waiting.reply(wire::SlotReply{});
    }
  }
}

void SlotLedger::takeOver(const ReservationTable& table) {
  durable_ = table;
  wanted_ = table;
  for (const auto& [front, reservations] : table.reserved) {
    for (const auto& [branch, slots] : reservations) {
      Holding holding;
      holding.held = slots;
      holding.in_use = slots;
      holding.heard_at = dispatcher_.now();
      branches_[branch].holdings[front] = holding;
    }
    askFront(front);
  }
  serving_ = true;
}

void SlotLedger::askFront(const FrontIdentity& front) {
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
    const auto found = state.holdings.find(front);
    const bool asked = branch.empty() || branch == path;
    if (found == state.holdings.end() || !asked) {
      continue;
    }
    const auto listed = std::find_if(
        report.holdings.begin(), report.holdings.end(),
        [&path = path](const wire::SlotHolding& holding) { return holding.branch == path; });
    if (listed == report.holdings.end()) {
      // A request which the report was overtaken by is later than it.
      if (found->second.sequence == 0) {
        state.holdings.erase(found);
      }
    } else if (!isStale(found->second, listed->sequence)) {
      found->second =
          Holding{listed->sequence, listed->held, listed->in_use, true, dispatcher_.now(), {}};
      renewWaiting(front, state, *listed);
    }
  }
}

void SlotLedger::renewWaiting(const FrontIdentity& front, BranchState& state,
                              const wire::SlotHolding& told) {
  // What the front waits for is still wanted; a grant must stand on what it told last.
  for (Waiting& waiting : state.waiting) {
    if (identityOf(waiting.request) == front) {
      waiting.request.sequence = told.sequence;
      waiting.request.held = told.held;
      waiting.request.in_use = told.in_use;
    }
  }
}

bool SlotLedger::isStale(const Holding& holding, std::uint64_t sequence) const {
  return options_.order_by_sequence && sequence <= holding.sequence;
}

void SlotLedger::answerEarlierRequests(const FrontIdentity& front, BranchState& state) {
  const auto is_earlier = [&front](const Waiting& waiting) {
    return identityOf(waiting.request) == front;
  };
  for (const Waiting& waiting : state.waiting) {
    if (is_earlier(waiting)) {
      answer(waiting, 0, false);
    }
  }
  std::erase_if(state.waiting, is_earlier);
}

void SlotLedger::dropFront(const FrontIdentity& front) {
  for (auto& [branch, state] : branches_) {
    const auto found = state.holdings.find(front);
    if (found == state.holdings.end() || found->second.orphaned_at) {
      continue;
    }
    // Nothing it sent is believed any more, however late it comes.
    found->second.sequence = std::numeric_limits<std::uint64_t>::max();
    found->second.confirmed = false;
    found->second.orphaned_at = dispatcher_.now();
  }
  wanted_.reserved.erase(front);
}

void SlotLedger::dropOrphans(BranchState& state) {
  std::erase_if(state.holdings, [this](const auto& item) {
    const std::optional<base::TimePoint>& since = item.second.orphaned_at;
    return since && dispatcher_.now() - *since >= options_.orphan_time;
  });
}

void SlotLedger::askOtherInstances(const FrontIdentity& front) {
  // Which instance is the later one can't be told from a message, which may be an old one. The
  // process that answers a call now is the living one.
  std::vector<FrontIdentity> others;
  for (const auto& [known, reservations] : wanted_.reserved) {
    if (known.address == front.address && known.instance != front.instance) {
      others.push_back(known);
    }
  }
  for (const FrontIdentity& other : others) {
    askFront(other);
  }
}

void SlotLedger::setLongestUse(base::Duration longest_use) {
  // Requests which began under an earlier configuration keep the time they were given.
  longest_use_ = std::max(longest_use_, longest_use);
}

void SlotLedger::noteRecallUnanswered(const FrontIdentity& front, BranchState& state) {
  const auto found = state.holdings.find(front);
  if (found == state.holdings.end()) {
    return;
  }
  const base::Duration bound = std::max(options_.silence_bound, longest_use_ + SilenceMargin);
  found->second.confirmed = false;
  if (dispatcher_.now() - found->second.heard_at > bound) {
    state.holdings.erase(found);
  }
}

void SlotLedger::onRequest(const wire::SlotRequest& request, transport::ReplyFunction reply) {
  if (!serving()) {
    reply(wire::SlotReply{});
    return;
  }
  const FrontIdentity front = identityOf(request);
  askOtherInstances(front);
  BranchState& state = branches_[request.branch];
  Holding& holding = state.holdings[front];
  const Waiting waiting{request, std::move(reply)};
  const bool unconfirmed = holding.sequence == 0 && holding.held > 0;
  if (unconfirmed && options_.confirm_after_takeover) {
    // The request may have been under way since before the predecessor's last grants.
    askFront(front);
    answer(waiting, 0, false);
    return;
  }
  if (isStale(holding, request.sequence)) {
    if (request.sequence < holding.sequence) {
      answer(waiting, 0, false);
    }
    return;
  }
  holding = Holding{request.sequence, request.held, request.in_use, true, dispatcher_.now(), {}};
  answerEarlierRequests(front, state);
  if (request.held == 0 && request.wanted == 0) {
    state.holdings.erase(front);
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
  const std::uint32_t held = heldOf(branch);
  return limit->second > held ? limit->second - held : 0;
}

std::uint32_t SlotLedger::heldOf(const std::string& branch) const {
  const auto state = branches_.find(branch);
  if (state == branches_.end()) {
    return 0;
  }
  std::uint32_t held = 0;
  for (const auto& [front, holding] : state->second.holdings) {
    held += holding.held;
  }
  return held;
}

void SlotLedger::serveWaiting(const std::string& branch) {
  if (!serving()) {
    return;
  }
  BranchState& state = branches_[branch];
  dropOrphans(state);
  while (!state.waiting.empty()) {
    const std::uint32_t available = freeSlots(branch);
    if (available == 0) {
      startRecall(branch);
      return;
    }
    Waiting waiting = std::move(state.waiting.front());
    state.waiting.pop_front();
    const std::uint32_t slots = std::min(available, waiting.request.wanted);
    grant(branch, std::move(waiting), slots);
  }
}

void SlotLedger::grant(const std::string& branch, Waiting waiting, std::uint32_t slots) {
  const FrontIdentity front = identityOf(waiting.request);
  Holding& holding = branches_[branch].holdings[front];
  holding.held += slots;
  reserve(front, branch, holding.held);
  if (reservedFor(waiting, slots)) {
    answer(waiting, slots, false);
    return;
  }
  pending_grants_.push_back(PendingGrant{std::move(waiting), slots});
  writeReservations();
}

void SlotLedger::answer(const Waiting& waiting, std::uint32_t granted, bool exhausted) const {
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
  std::vector<FrontIdentity> fronts;
  if (!options_.recall_before_refusing) {
    return fronts;
  }
  for (const auto& [front, holding] : branches_.at(branch).holdings) {
    // A recall would make void what a pending grant stands on.
    const bool pending =
        std::ranges::any_of(pending_grants_, [&, &front = front](const PendingGrant& grant) {
          const wire::SlotRequest& request = grant.waiting.request;
          return request.branch == branch && identityOf(request) == front;
        });
    if (!pending && holding.held > 0 && !holding.orphaned_at) {
      fronts.push_back(front);
    }
  }
  return fronts;
}

void SlotLedger::startRecall(const std::string& branch) {
  BranchState& state = branches_[branch];
  if (state.recalling) {
    return;
  }
  const std::vector<FrontIdentity> asked = frontsToRecall(branch);
  for (Waiting& waiting : state.waiting) {
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
                  noteRecallUnanswered(front, state);
                }
                if (--state.recalls_open == 0) {
                  finishRecall(branch);
                }
              });
}

bool SlotLedger::grantPending(const std::string& branch) const {
  return std::ranges::any_of(pending_grants_, [&branch](const PendingGrant& pending) {
    return pending.waiting.request.branch == branch;
  });
}

bool SlotLedger::allKnownInUse(const std::string& branch) const {
  const auto state = branches_.find(branch);
  if (state == branches_.end()) {
    return false;
  }
  std::uint32_t in_use = 0;
  for (const auto& [front, holding] : state->second.holdings) {
    const bool recent = dispatcher_.now() - holding.heard_at <= options_.evidence_age;
    in_use += holding.confirmed && recent ? holding.in_use : 0;
  }
  const auto limit = limits_.find(branch);
  return limit != limits_.end() && in_use >= limit->second;
}

void SlotLedger::finishRecall(const std::string& branch) {
  BranchState& state = branches_[branch];
  state.recalling = false;
  while (!state.waiting.empty() && freeSlots(branch) > 0) {
    Waiting waiting = std::move(state.waiting.front());
    state.waiting.pop_front();
    const std::uint32_t slots = std::min(freeSlots(branch), waiting.request.wanted);
    grant(branch, std::move(waiting), slots);
  }
  // A grant that waits for its reservation may come to nothing.
  const bool exhausted = allKnownInUse(branch) && !grantPending(branch);
  std::deque<Waiting> later;
  std::deque<Waiting> refused;
  for (Waiting& waiting : state.waiting) {
    (waiting.in_recall ? refused : later).push_back(std::move(waiting));
  }
  state.waiting = std::move(later);
  for (const Waiting& waiting : refused) {
    answer(waiting, 0, exhausted);
  }
  if (!state.waiting.empty()) {
    startRecall(branch);
  }
}

void SlotLedger::reserve(const FrontIdentity& front, const std::string& branch,
                         std::uint32_t slots) {
  std::uint32_t& reserved = wanted_.reserved[front][branch];
  if (reserved < slots) {
    const std::uint32_t steps = (slots + options_.reservation_step - 1) / options_.reservation_step;
    reserved = steps * options_.reservation_step;
  }
}

bool SlotLedger::reservedFor(const Waiting& waiting, std::uint32_t granted) const {
  if (!options_.reserve_before_granting) {
    return true;
  }
  const auto front = durable_.reserved.find(identityOf(waiting.request));
  if (front == durable_.reserved.end()) {
    return false;
  }
  const auto branch = front->second.find(waiting.request.branch);
  return branch != front->second.end() && branch->second >= waiting.request.held + granted;
}

ReservationTable SlotLedger::tableToWrite() {
  // Bounds of fronts which hold nothing any more are taken out with the next write.
  for (auto& [front, reservations] : wanted_.reserved) {
    std::erase_if(reservations, [this, &front = front](const auto& item) {
      const auto state = branches_.find(item.first);
      return state == branches_.end() || !state->second.holdings.contains(front);
    });
  }
  std::erase_if(wanted_.reserved, [](const auto& item) { return item.second.empty(); });
  wanted_.term = term_;
  return wanted_;
}

void SlotLedger::writeReservations() {
  if (writing_) {
    return;
  }
  writing_ = true;
  ReservationTable table = tableToWrite();
  // A bound that is taken out must not be relied on from now on.
  std::erase_if(durable_.reserved,
                [&table](const auto& item) { return !table.reserved.contains(item.first); });
  for (auto& [front, reservations] : durable_.reserved) {
    const BranchReservations& next = table.reserved.at(front);
    std::erase_if(reservations, [&next](const auto& item) { return !next.contains(item.first); });
  }
  const std::string bytes = encodeReservations(table);
  const std::uint64_t term = term_;
  const auto change = [term, bytes, fenced = options_.fence_by_term](
                          const std::string& present) -> std::optional<std::string> {
    if (fenced && decodeReservations(present).term > term) {
      return std::nullopt;
    }
    return bytes;
  };
  proposer_.change(registerKey(), change,
                   [this, alive = std::weak_ptr(alive_), term,
                    table = std::move(table)](const registers::RegisterOutcome& outcome) {
                     if (alive.expired() || term != term_) {
                       return;
                     }
                     onReservationsWritten(outcome, table);
                   });
}

void SlotLedger::onReservationsWritten(const registers::RegisterOutcome& outcome,
                                       const ReservationTable& written) {
  writing_ = false;
  const bool is_written = outcome.code == base::ResultCode::Ok && outcome.changed;
  if (is_written) {
    durable_ = written;
  }
  std::vector<PendingGrant> pending;
  pending.swap(pending_grants_);
  for (PendingGrant& pending_grant : pending) {
    const Waiting& waiting = pending_grant.waiting;
    if (reservedFor(waiting, pending_grant.slots)) {
      answer(waiting, pending_grant.slots, false);
    } else if (is_written) {
      pending_grants_.push_back(std::move(pending_grant));
    } else {
      // The register did not answer: the slots stay counted as held until the front tells
      // otherwise.
      answer(waiting, 0, false);
    }
  }
  if (!pending_grants_.empty()) {
    writeReservations();
  }
}

}  // namespace switchsaddle::admission
