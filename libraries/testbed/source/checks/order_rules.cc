#include "checks/order_rules.h"

#include <algorithm>
#include <array>
#include <limits>

namespace switchsaddle::testbed {
namespace {

/** The property of a worker's event that the subject of an order is compared with. */
enum class SubjectKind : std::uint8_t { Zone, Tenant, Worker };

/** An event after which runs are forbidden until another event allows them again. */
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

/** The time in milliseconds from which runs for the subject are allowed again. */
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

/** Whether the rule applies to this event. A refused request did not run in a zone or for a key,
 * but it was sent to a leaving worker. */
bool appliesTo(const OrderRule& rule, const WorkerEvent& event) {
  return event.event == worker_event::Start ||
         (rule.subject == SubjectKind::Worker && event.event == worker_event::Refused);
}

void checkOrder(const Evidence& evidence, const OrderEvent& order, const OrderRule& rule,
                HistoryReport& report) {
  const std::int64_t end = endOfOrder(evidence.orders, order, rule);
  for (const WorkerJournal& journal : evidence.journals) {
    for (const WorkerEvent& event : journal.events) {
      const bool within = event.at_ms >= order.at_ms && event.at_ms < end;
      if (!within || !appliesTo(rule, event) ||
          subjectOf(journal, event, rule.subject) != order.subject) {
        continue;
      }
      const std::int64_t after_ms = event.at_ms - order.at_ms;
      std::int64_t& latest = report.latest_start_ms[order.event];
      latest = std::max(latest, after_ms);
      if (after_ms > rule.limit_ms) {
        report.violations.push_back({rule.rule, order.subject,
                                     event.event + " " + event.run + " at " + journal.worker +
                                         ", " + std::to_string(after_ms) + " ms after the order"});
      }
    }
  }
}

}  // namespace

void checkOrders(const Evidence& evidence, HistoryReport& report) {
  for (const OrderEvent& order : evidence.orders) {
    for (const OrderRule& rule : OrderRules) {
      if (order.event == rule.forbids) {
        ++report.orders[order.event];
        checkOrder(evidence, order, rule, report);
      }
    }
  }
}

}  // namespace switchsaddle::testbed
