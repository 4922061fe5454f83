#include "order_rules.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <set>

namespace switchsaddle::laboratory {
namespace {

constexpr const char* Prefill = "prefill";
/** A first try counts for a retry that follows it by up to this much more than the window. */
constexpr std::int64_t RetrySlackMs = 500;

/** What of a worker's event an order's subject is compared with. */
enum class SubjectKind : std::uint8_t { Zone, Tenant, Worker };

/** A kind of order that forbids work until another allows it again. */
struct OrderRule {
  const char* forbids;
  const char* allows;
  SubjectKind subject;
  std::int64_t limit_ms;
  Rule rule;
};

constexpr std::array OrderRules{
    OrderRule{order_event::Evacuated, order_event::Restored, SubjectKind::Zone, EvacuationLimitMs,
              Rule::RanInEvacuatedZone},
    OrderRule{order_event::Revoked, order_event::Added, SubjectKind::Tenant, RevocationLimitMs,
              Rule::RanForRevokedKey},
    OrderRule{order_event::Draining, order_event::Returned, SubjectKind::Worker, LeavingLimitMs,
              Rule::SentToLeavingWorker},
    OrderRule{order_event::Vanished, order_event::Returned, SubjectKind::Worker, LeavingLimitMs,
              Rule::SentToLeavingWorker},
};

const std::string& subjectOf(const WorkerJournal& journal, const WorkerEvent& event,
                             SubjectKind kind) {
  switch (kind) {
    case SubjectKind::Zone:
      return journal.zone;
    case SubjectKind::Tenant:
      return event.tenant;
    case SubjectKind::Worker:
      break;
  }
  return journal.worker;
}

/** When work for the subject was allowed again. */
std::int64_t endOfOrder(const std::vector<OrderEvent>& orders, const OrderEvent& order,
                        const OrderRule& rule) {
  std::int64_t end = std::numeric_limits<std::int64_t>::max();
  for (const OrderEvent& other : orders) {
    const bool allows = other.event == rule.allows && other.subject == order.subject;
    if (allows && other.at_ms >= order.at_ms) {
      end = std::min(end, other.at_ms);
    }
  }
  return end;
}

/** Whether the worker took a request with this event: it began to run or was refused. */
bool isAttempt(const WorkerEvent& event) {
  return event.event == worker_event::Start || event.event == worker_event::Refused;
}

/** Whether the rule forbids this event. A refused request did no work in a zone or for a key, but
 * it was sent to a leaving worker. */
bool concerns(const OrderRule& rule, const WorkerEvent& event) {
  return event.event == worker_event::Start ||
         (rule.subject == SubjectKind::Worker && event.event == worker_event::Refused);
}

void judgeOrder(const Evidence& evidence, const OrderEvent& order, const OrderRule& rule,
                Judgement& judgement) {
  const std::int64_t end = endOfOrder(evidence.orders, order, rule);
  for (const WorkerJournal& journal : evidence.journals) {
    for (const WorkerEvent& event : journal.events) {
      const bool within = event.at_ms >= order.at_ms && event.at_ms < end;
      if (!within || !concerns(rule, event) ||
          subjectOf(journal, event, rule.subject) != order.subject) {
        continue;
      }
      const std::int64_t after_ms = event.at_ms - order.at_ms;
      std::int64_t& latest = judgement.latest_start_ms[order.event];
      latest = std::max(latest, after_ms);
      if (after_ms > rule.limit_ms) {
        judgement.violations.push_back({rule.rule, order.subject,
                                        event.event + " " + event.run + " at " + journal.worker +
                                            ", " + std::to_string(after_ms) + " ms after"});
      }
    }
  }
}

/** Attempts of one kind as the workers saw them, in order of time. */
std::vector<const WorkerEvent*> attemptsOf(const Evidence& evidence, const std::string& kind) {
  std::vector<const WorkerEvent*> attempts;
  for (const WorkerJournal& journal : evidence.journals) {
    for (const WorkerEvent& event : journal.events) {
      if (isAttempt(event) && event.kind == kind && !event.caller_request_id.empty()) {
        attempts.push_back(&event);
      }
    }
  }
  std::stable_sort(attempts.begin(), attempts.end(),
                   [](const WorkerEvent* first, const WorkerEvent* second) {
                     return first->at_ms < second->at_ms;
                   });
  return attempts;
}

/** Times at which calls of this kind were sent, in order. */
std::vector<std::int64_t> sendTimes(const Evidence& evidence, const std::string& kind) {
  std::vector<std::int64_t> times;
  for (const CallEvent& call : evidence.calls) {
    if (call.event == "sent" && call.kind == kind) {
      times.push_back(call.at_ms);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

void judgeRetriesOf(const Evidence& evidence, const std::string& kind, Judgement& judgement) {
  const std::vector<std::int64_t> sent = sendTimes(evidence, kind);
  std::set<std::string> seen;
  std::deque<std::int64_t> retries;
  for (const WorkerEvent* attempt : attemptsOf(evidence, kind)) {
    if (seen.insert(attempt->caller_request_id).second) {
      continue;
    }
    ++judgement.retries[kind];
    retries.push_back(attempt->at_ms);
    while (retries.front() <= attempt->at_ms - RetryWindowMs) {
      retries.pop_front();
    }
    const auto from =
        std::upper_bound(sent.begin(), sent.end(), attempt->at_ms - RetryWindowMs - RetrySlackMs);
    const auto to = std::upper_bound(sent.begin(), sent.end(), attempt->at_ms);
    const auto first_tries = static_cast<double>(to - from);
    if (static_cast<double>(retries.size()) > RetryShare * first_tries) {
      judgement.violations.push_back({Rule::TooManyRetries, kind,
                                      std::to_string(retries.size()) + " retries for " +
                                          std::to_string(static_cast<std::int64_t>(first_tries)) +
                                          " calls"});
      return;
    }
  }
}

}  // namespace

void judgeOrders(const Evidence& evidence, Judgement& judgement) {
  for (const OrderEvent& order : evidence.orders) {
    for (const OrderRule& rule : OrderRules) {
      if (order.event == rule.forbids) {
        ++judgement.orders[order.event];
        judgeOrder(evidence, order, rule, judgement);
      }
    }
  }
}

void judgeRetries(const Evidence& evidence, Judgement& judgement) {
  std::set<std::string> kinds;
  for (const WorkerJournal& journal : evidence.journals) {
    for (const WorkerEvent& event : journal.events) {
      if (isAttempt(event) && event.kind != Prefill) {
        kinds.insert(event.kind);
      }
    }
  }
  for (const std::string& kind : kinds) {
    judgeRetriesOf(evidence, kind, judgement);
  }
}

}  // namespace switchsaddle::laboratory
