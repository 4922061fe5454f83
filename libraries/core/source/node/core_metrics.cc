#include "switchsaddle/core/node/core_metrics.h"

#include <algorithm>

namespace switchsaddle::core {

namespace {

void appendRegisters(const CoreNode& node, metrics::Page& page) {
  const RegisterCounters& counters = node.registerCounters();
  page.counter("register_operations_total", "Register operations of this node that ended.",
               static_cast<double>(counters.operations));
  page.counter("register_operations_without_quorum_total",
               "Register operations that ended without a quorum.",
               static_cast<double>(counters.without_quorum));
  page.histogram("register_operation_seconds", "Duration of a register operation in seconds.",
                 counters.latency);
  const registers::ProposerCounters& proposer = node.proposer().counters();
  page.counter("register_attempts_total", "Attempts begun, of two quorum rounds each.",
               static_cast<double>(proposer.attempts));
  page.counter("register_attempts_failed_total",
               "Attempts, of two quorum rounds each, that failed.",
               static_cast<double>(proposer.failed_attempts));
}

void appendStorage(const NodeStatus& status, metrics::Page& page) {
  page.gauge("may_vote", "1 if this node's acceptor may vote, else 0.", status.may_vote ? 1 : 0);
  page.gauge("storage_fault", "1 if the store is new, lost or cannot be opened, else 0.",
             status.storage_fault.empty() ? 0 : 1);
  page.gauge("registers", "Registers stored at this node.",
             static_cast<double>(status.register_count));
}

void appendHealth(const CoreNode& node, metrics::Page& page) {
  const std::vector<worker_health::WorkerRank>& ranks = node.health().ranks();
  const auto unhealthy = std::count_if(ranks.begin(), ranks.end(), [](const auto& rank) {
    return rank.state == worker_health::HealthState::Unhealthy;
  });
  page.gauge("sick_workers", "Workers that this node ranks as unhealthy.",
             static_cast<double>(unhealthy));
  page.gauge("workers_in_maintenance", "Workers that operators have put into maintenance.",
             static_cast<double>(node.replica().view()->workers_in_maintenance.size()));
  for (const worker_health::WorkerRank& rank : ranks) {
    if (rank.state == worker_health::HealthState::Unhealthy) {
      page.gauge("worker_severity",
                 "Lower bound, 0 to 1, of the share of requests degraded without explanation.",
                 rank.severity,
                 {{"worker", rank.worker}, {"sickness", worker_health::symptomName(rank.symptom)}});
    }
  }
}

}  // namespace

void appendMetrics(const CoreNode& node, metrics::Page& page) {
  const NodeStatus status = node.status();
  appendRegisters(node, page);
  appendStorage(status, page);
  appendHealth(node, page);
  page.gauge("acceptor_set_epoch", "Epoch of the acceptor set in the view of this node.",
             static_cast<double>(status.acceptor_set.epoch));
  page.gauge("acceptor_set_members", "Members of the acceptor set.",
             static_cast<double>(status.acceptor_set.members.size()));
  const auto held = std::count_if(status.leases.begin(), status.leases.end(),
                                  [](const LeaseStatus& lease) { return lease.held; });
  page.gauge("leases_held", "Leases of singleton roles held by this node.",
             static_cast<double>(held));
  page.gauge("sessions", "Live sessions of fronts in the table of this node.",
             static_cast<double>(node.sessionCount()));
  page.gauge("configuration_version", "Version of the configuration at this node.",
             static_cast<double>(node.replica().version()));
}

}  // namespace switchsaddle::core
