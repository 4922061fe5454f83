#include "switchsaddle/worker_health/evidence_recorder.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::worker_health {

namespace {

/** A worker that was not used for this long is removed. */
constexpr base::Duration IdleLifetime = std::chrono::minutes(10);
/** A worker is an outlier if its bad requests in excess of its pool's rate reach MinimumExcess, or
 * its recent failures reach MinimumRecentFailed. */
constexpr double MinimumExcess = 0.8;
constexpr double MinimumRecentFailed = 0.5;
/** Weight of recent failures, above that of an excess accumulated over minutes. */
constexpr double RecentFailureWeight = 4;

/** @return whether the outcome is evidence about the worker. */
bool isConclusive(DispatchEnd end) {
  return end != DispatchEnd::Abandoned && end != DispatchEnd::Unreachable;
}

/** @return the bad requests of a worker in excess of the rate of the other workers of its pool. */
double excessOf(double bad, double counted, double pool_bad, double pool_counted) {
  const double peers_counted = pool_counted - counted;
  const double peer_share = peers_counted > 0 ? std::max(0.0, pool_bad - bad) / peers_counted : 0;
  return bad - counted * peer_share;
}

}  // namespace

std::uint64_t EvidenceRecorder::onDispatch(const Dispatch& dispatch) {
  const std::uint64_t number = next_number_++;
  pending_.emplace(number, Pending{dispatch, dispatcher_.now(), false, false});
  Record& record = workers_[dispatch.worker];
  record.pool = dispatch.pool;
  ++record.in_flight;
  record.last_used = dispatcher_.now();
  if (dispatch.prefill >= MinimumStall) {
    wire::HealthCounts counts;
    counts.long_prompts = 1;
    count(dispatch, counts);
  }
  return number;
}

void EvidenceRecorder::onHead(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found != pending_.end()) {
    found->second.answered = true;
  }
}

void EvidenceRecorder::onEnd(std::uint64_t number, const DispatchSample& sample) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  const Pending ended = found->second;
  pending_.erase(found);
  --workers_[ended.dispatch.worker].in_flight;
  wire::HealthCounts counts;
  if (isConclusive(sample.end) && !ended.counted_as_failed) {
    counts.dispatched = 1;
    counts.failed = sample.end == DispatchEnd::Failed ? 1 : 0;
  }
  const PeerComparisonResult result = comparison_.compare(ended.dispatch.kind, sample);
  if (result.comparable) {
    counts.timed = 1;
    counts.stalled = result.stalled ? 1 : 0;
    counts.slow = result.slow ? 1 : 0;
    counts.stream_s = static_cast<float>(std::chrono::duration<double>(sample.transfer).count());
  }
  count(ended.dispatch, counts);
}

void EvidenceRecorder::count(const Dispatch& dispatch, const wire::HealthCounts& counts) {
  const base::TimePoint now = dispatcher_.now();
  workers_[dispatch.worker].counts.add(counts, now);
  pools_[dispatch.pool].add(counts, now);
}

void EvidenceRecorder::countTimedOut() {
  const base::TimePoint now = dispatcher_.now();
  for (auto& [number, pending] : pending_) {
    if (now - pending.dispatched_at < HeadTimeout) {
      // The remaining requests were dispatched later.
      break;
    }
    if (!pending.answered && !pending.counted_as_failed) {
      pending.counted_as_failed = true;
      wire::HealthCounts counts;
      counts.dispatched = 1;
      counts.failed = 1;
      count(pending.dispatch, counts);
    }
  }
}

void EvidenceRecorder::removeIdle() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(workers_, [now](const auto& item) {
    return item.second.in_flight == 0 && now - item.second.last_used > IdleLifetime;
  });
}

void EvidenceRecorder::setWatched(const std::vector<std::uint64_t>& workers) {
  watched_ = {workers.begin(), workers.end()};
}

double EvidenceRecorder::excess(const Record& record, base::TimePoint now) const {
  const auto pool = pools_.find(record.pool);
  if (pool == pools_.end()) {
    return 0;
  }
  const wire::HealthCounts all = pool->second.counts(now);
  const wire::HealthCounts own = record.counts.counts(now);
  return excessOf(own.failed, own.dispatched, all.failed, all.dispatched) +
         excessOf(own.stalled, own.timed, all.stalled, all.timed) +
         excessOf(own.slow, own.timed, all.slow, all.timed);
}

std::vector<std::uint64_t> EvidenceRecorder::outliers(base::TimePoint now) const {
  std::vector<std::pair<double, std::uint64_t>> found;
  for (const auto& [worker, record] : workers_) {
    const double recent = record.counts.recentFailed(now);
    const double worker_excess = excess(record, now);
    if (recent >= MinimumRecentFailed || worker_excess >= MinimumExcess) {
      found.emplace_back(worker_excess + RecentFailureWeight * recent, worker);
    }
  }
  std::ranges::sort(found, std::greater<>());
  std::vector<std::uint64_t> chosen;
  for (const auto& [score, worker] : found) {
    if (chosen.size() == MaximumOutliers) {
      break;
    }
    chosen.push_back(worker);
  }
  return chosen;
}

wire::HealthReport EvidenceRecorder::statement() {
  const base::TimePoint now = dispatcher_.now();
  wire::HealthReport report;
  if (now - reported_at_ < ReportInterval) {
    return report;
  }
  reported_at_ = now;
  report.observed_s = static_cast<float>(decayedSeconds(now - started_at_));
  countTimedOut();
  removeIdle();
  reportPools(now, report);
  for (const std::uint64_t worker : outliers(now)) {
    reportWorker(worker, now, report);
  }
  reportWatched(now, report);
  reportRotated(now, report);
  return report;
}

void EvidenceRecorder::reportPools(base::TimePoint now, wire::HealthReport& report) const {
  for (const auto& [pool, counts] : pools_) {
    wire::PoolHealth health;
    health.pool = pool;
    health.recent_dispatched = static_cast<float>(counts.recentDispatched(now));
    health.recent_failed = static_cast<float>(counts.recentFailed(now));
    health.counts = counts.counts(now);
    report.pools.push_back(health);
  }
}

void EvidenceRecorder::reportWatched(base::TimePoint now, wire::HealthReport& report) const {
  std::size_t count = 0;
  for (const std::uint64_t worker : watched_) {
    if (count++ == MaximumWatched) {
      break;
    }
    reportWorker(worker, now, report);
  }
}

void EvidenceRecorder::reportRotated(base::TimePoint now, wire::HealthReport& report) {
  for (std::size_t count = 0; count < RotatedWorkers && !workers_.empty(); ++count) {
    auto next = workers_.upper_bound(last_rotated_);
    next = next == workers_.end() ? workers_.begin() : next;
    last_rotated_ = next->first;
    reportWorker(last_rotated_, now, report);
  }
}

void EvidenceRecorder::reportWorker(std::uint64_t worker, base::TimePoint now,
                                    wire::HealthReport& report) const {
  const auto found = workers_.find(worker);
  const bool is_reported = std::ranges::count(report.workers, worker, &wire::WorkerHealth::worker);
  if (found == workers_.end() || is_reported) {
    return;
  }
  const Record& record = found->second;
  wire::WorkerHealth health;
  health.worker = worker;
  health.recent_dispatched = static_cast<float>(record.counts.recentDispatched(now));
  health.recent_failed = static_cast<float>(record.counts.recentFailed(now));
  health.counts = record.counts.counts(now);
  health.in_flight = record.in_flight;
  report.workers.push_back(health);
}

std::uint32_t EvidenceRecorder::inFlight(std::uint64_t worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.in_flight;
}

}  // namespace switchsaddle::worker_health
