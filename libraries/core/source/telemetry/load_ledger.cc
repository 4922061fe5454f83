#include "switchsaddle/core/telemetry/load_ledger.h"

#include <algorithm>
#include <limits>

namespace switchsaddle::core {

namespace {

/** Interval at which the fronts' time-outs are checked and the kinds of work are summed. */
constexpr base::Duration RefreshInterval = std::chrono::milliseconds(200);

/** Weight of a request in flight, in milliseconds of prefill, in the choice of reported workers. */
constexpr double RequestWeightMs = 25;

double weightOf(const wire::WorkerLoad& load) {
  return load.prefill_ms + RequestWeightMs * load.requests;
}

std::uint16_t saturated(std::uint32_t value) {
  constexpr std::uint32_t Maximum = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(value, Maximum));
}

}  // namespace

void LoadLedger::update(const wire::SessionRecord& record) {
  const FrontKey key{record.front, record.instance};
  const auto known = fronts_.find(key);
  if (known != fronts_.end()) {
    subtract(known->second.load.workers);
  }
  if (record.closed) {
    if (known != fronts_.end()) {
      fronts_.erase(known);
    }
    return;
  }
  add(record.load.workers);
  fronts_[key] = Front{dispatcher_.now(), record.load};
  refresh();
}

void LoadLedger::add(const std::vector<wire::WorkerLoad>& loads) {
  for (const wire::WorkerLoad& load : loads) {
    Total& total = totals_[load.worker];
    total.requests += load.requests;
    total.prefill_ms += load.prefill_ms;
  }
}

void LoadLedger::subtract(const std::vector<wire::WorkerLoad>& loads) {
  for (const wire::WorkerLoad& load : loads) {
    const auto total = totals_.find(load.worker);
    total->second.requests -= load.requests;
    total->second.prefill_ms -= load.prefill_ms;
    if (total->second.empty()) {
      totals_.erase(total);
    }
  }
}

void LoadLedger::refresh() {
  const base::TimePoint now = dispatcher_.now();
  if (!refreshed_at_ || now - *refreshed_at_ >= RefreshInterval) {
    refreshed_at_ = now;
    removeUnresponsive();
    sumKinds();
  }
}

void LoadLedger::sumKinds() {
  std::map<std::uint64_t, wire::WorkKindCounts> sums;
  for (const auto& [key, front] : fronts_) {
    for (const wire::WorkKindCounts& work : front.load.kinds) {
      wire::WorkKindCounts& sum = sums[work.kind];
      sum.kind = work.kind;
      sum.prompts += work.prompts;
      sum.prompt_tokens += work.prompt_tokens;
      sum.prefilled_tokens += work.prefilled_tokens;
    }
  }
  kinds_.clear();
  for (const auto& [kind, sum] : sums) {
    kinds_.push_back(sum);
  }
}

void LoadLedger::removeUnresponsive() {
  const base::TimePoint now = dispatcher_.now();
  for (auto front = fronts_.begin(); front != fronts_.end();) {
    if (now - front->second.last_seen < unresponsive_timeout_) {
      ++front;
      continue;
    }
    subtract(front->second.load.workers);
    front = fronts_.erase(front);
  }
}

wire::FleetLoad LoadLedger::loadFor(const wire::SessionRecord& record) {
  refresh();
  wire::FleetLoad load{true, loadsOfPeers(FrontKey{record.front, record.instance}), kinds_, 0, 0};
  limitReported(load);
  return load;
}

void LoadLedger::limitReported(wire::FleetLoad& load) {
  if (load.peer_loads.size() <= MaximumReportedWorkers) {
    return;
  }
  const auto end_of_reported = load.peer_loads.begin() + MaximumReportedWorkers;
  std::nth_element(load.peer_loads.begin(), end_of_reported, load.peer_loads.end(),
                   [](const wire::WorkerLoad& first, const wire::WorkerLoad& second) {
                     return weightOf(first) > weightOf(second);
                   });
  double requests = 0;
  double prefill_ms = 0;
  for (auto rest = end_of_reported; rest != load.peer_loads.end(); ++rest) {
    requests += rest->requests;
    prefill_ms += rest->prefill_ms;
  }
  const auto count = static_cast<double>(load.peer_loads.end() - end_of_reported);
  load.unlisted_mean_requests = static_cast<float>(requests / count);
  load.unlisted_mean_prefill_ms = static_cast<float>(prefill_ms / count);
  load.peer_loads.erase(end_of_reported, load.peer_loads.end());
}

std::uint32_t LoadLedger::requestsOn(std::uint32_t worker) const {
  const auto total = totals_.find(worker);
  return total == totals_.end() ? 0 : total->second.requests;
}

std::vector<wire::WorkerLoad> LoadLedger::loadsOfPeers(const FrontKey& key) const {
  std::map<std::uint32_t, const wire::WorkerLoad*> own;
  const auto known = fronts_.find(key);
  if (known != fronts_.end()) {
    for (const wire::WorkerLoad& load : known->second.load.workers) {
      own[load.worker] = &load;
    }
  }
  std::vector<wire::WorkerLoad> peers;
  peers.reserve(totals_.size());
  for (const auto& [worker, total] : totals_) {
    Total remaining = total;
    const auto counted = own.find(worker);
    if (counted != own.end()) {
      remaining.requests -= counted->second->requests;
      remaining.prefill_ms -= counted->second->prefill_ms;
    }
    if (!remaining.empty()) {
      peers.push_back({worker, saturated(remaining.requests), saturated(remaining.prefill_ms)});
    }
  }
  return peers;
}

}  // namespace switchsaddle::core
