#include "switchsaddle/front/forward/forward_losses.h"

#include <utility>

namespace switchsaddle::front {

namespace {

constexpr base::Duration ReportInterval = std::chrono::seconds(2);

}  // namespace

std::string_view forwardLossName(ForwardLoss loss) {
  switch (loss) {
    case ForwardLoss::QuotaSpent:
      return "quota_spent";
    case ForwardLoss::NoWorker:
      return "no_worker";
    case ForwardLoss::WorkersFull:
      return "workers_full";
    case ForwardLoss::TimeLimit:
      return "time_limit";
    case ForwardLoss::WorkerLost:
      return "worker_lost";
    case ForwardLoss::LateOwnPrompt:
      return "late_own_prompt";
    case ForwardLoss::LateQueue:
      return "late_queue";
    case ForwardLoss::LateDespiteEstimate:
      return "late_unforeseen";
    case ForwardLoss::LateEvent:
      return "late_pause";
  }
  return "unknown";
}

ForwardLosses::ForwardLosses(base::Dispatcher& dispatcher, base::IncidentSink& incidents)
    : incidents_(incidents), timer_(dispatcher.createTimer([this] { report(); })) {}

void ForwardLosses::record(const std::string& route, ForwardLoss loss) {
  ++counts_[route][loss];
  if (!timer_->enabled()) {
    timer_->enable(ReportInterval);
  }
}

void ForwardLosses::report() {
  for (const auto& [route, losses] : std::exchange(counts_, {})) {
    base::Incident incident;
    incident.event = "forwarding-losses";
    incident.severity = base::Severity::Info;
    incident.fields.push_back({"route", route});
    for (const auto& [loss, count] : losses) {
      incident.fields.push_back({forwardLossName(loss), std::to_string(count)});
    }
    incidents_.report(incident);
  }
}

}  // namespace switchsaddle::front
