#include "switchsaddle/worker_health/evidence_recorder.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::worker_health {

namespace {

/** A worker not used for so long is forgotten. */
constexpr base::Duration IdleMemory = std::chrono::minutes(10);
/** Bad dispatches beyond what the pool explains, from which a worker is accused. */
constexpr double LeastExcess = 0.8;
constexpr double LeastRecentFailed = 0.5;

}  // namespace

std::uint64_t EvidenceRecorder::onDispatch(const Dispatch& dispatch) {
  const std::uint64_t number = next_number_++;
  open_.emplace(number, Open{dispatch, dispatcher_.now(), false, false});
  Record& record = workers_[dispatch.worker];
  record.pool = dispatch.pool;
  ++record.in_flight;
  record.last_used = dispatcher_.now();
  if (dispatch.prefill >= ShortestStall) {
    wire::HealthCounts counts;
    counts.long_prompts = 1;
    count(dispatch, counts);
  }
  return number;
}

void EvidenceRecorder::onHead(std::uint64_t number) {
  const auto found = open_.find(number);
  if (found != open_.end()) {
    found->second.answered = true;
  }
}

void EvidenceRecorder::onEnd(std::uint64_t number, const DispatchSample& sample) {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const Open open = found->second;
  open_.erase(found);
  --workers_[open.dispatch.worker].in_flight;
  wire::HealthCounts counts;
  const bool told_already = open.counted_as_failed;
  const bool tells = sample.end != DispatchEnd::Abandoned && sample.end != DispatchEnd::Unreachable;
  if (tells && !told_already) {
    counts.dispatched = 1;
    counts.failed = sample.end == DispatchEnd::Failed ? 1 : 0;
  }
  const PeerVerdict verdict = comparison_.compare(open.dispatch.kind, sample);
  if (verdict.comparable) {
    counts.timed = 1;
    counts.stalled = verdict.stalled ? 1 : 0;
    counts.slow = verdict.slow ? 1 : 0;
    counts.stream_s = static_cast<float>(std::chrono::duration<double>(sample.transfer).count());
  }
  count(open.dispatch, counts);
}

void EvidenceRecorder::count(const Dispatch& dispatch, const wire::HealthCounts& counts) {
  const base::TimePoint now = dispatcher_.now();
  workers_[dispatch.worker].counts.add(counts, now);
  pools_[dispatch.pool].add(counts, now);
}

void EvidenceRecorder::countOverdue() {
  const base::TimePoint now = dispatcher_.now();
  for (auto& [number, open] : open_) {
    if (now - open.at < Overdue) {
      // Numbers follow time.
      break;
    }
    if (!open.answered && !open.counted_as_failed) {
      open.counted_as_failed = true;
      wire::HealthCounts counts;
      counts.dispatched = 1;
      counts.failed = 1;
      count(open.dispatch, counts);
    }
  }
}

void EvidenceRecorder::forgetIdle() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(workers_, [now](const auto& item) {
    return item.second.in_flight == 0 && now - item.second.last_used > IdleMemory;
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
  const auto beyond = [](double bad, double counted, double all_bad, double all_counted) {
    const double others = all_counted - counted;
    const double share = others > 0 ? std::max(0.0, all_bad - bad) / others : 0;
    return bad - counted * share;
  };
  return beyond(own.failed, own.dispatched, all.failed, all.dispatched) +
         beyond(own.stalled, own.timed, all.stalled, all.timed) +
         beyond(own.slow, own.timed, all.slow, all.timed);
}

std::vector<std::uint64_t> EvidenceRecorder::accused(base::TimePoint now) const {
  std::vector<std::pair<double, std::uint64_t>> found;
  for (const auto& [worker, record] : workers_) {
    const double recent = record.counts.recentFailed(now);
    const double worse = excess(record, now);
    if (recent >= LeastRecentFailed || worse >= LeastExcess) {
      // What fails now goes before what was worse over minutes.
      found.emplace_back(worse + 4 * recent, worker);
    }
  }
  std::ranges::sort(found, std::greater<>());
  std::vector<std::uint64_t> chosen;
  for (const auto& [worse, worker] : found) {
    if (chosen.size() == MaximumAccused) {
      break;
    }
    chosen.push_back(worker);
  }
  return chosen;
}

void EvidenceRecorder::tell(std::uint64_t worker, base::TimePoint now,
                            wire::HealthReport& statement) const {
  const auto told = [worker](const wire::WorkerHealth& one) { return one.worker == worker; };
  const auto found = workers_.find(worker);
  if (found == workers_.end() || std::ranges::any_of(statement.workers, told)) {
    return;
  }
  const Record& record = found->second;
  wire::WorkerHealth health;
  health.worker = worker;
  health.recent_dispatched = static_cast<float>(record.counts.recentDispatched(now));
  health.recent_failed = static_cast<float>(record.counts.recentFailed(now));
  health.counts = record.counts.counts(now);
  health.in_flight = record.in_flight;
  statement.workers.push_back(health);
}

wire::HealthReport EvidenceRecorder::statement() {
  const base::TimePoint now = dispatcher_.now();
  wire::HealthReport statement;
  if (now - reported_at_ < StatementInterval) {
    return statement;
  }
  reported_at_ = now;
  statement.observed_s = static_cast<float>(decayedSeconds(now - started_at_));
  countOverdue();
  forgetIdle();
  for (const auto& [pool, counts] : pools_) {
    wire::PoolHealth health;
    health.pool = pool;
    health.recent_dispatched = static_cast<float>(counts.recentDispatched(now));
    health.recent_failed = static_cast<float>(counts.recentFailed(now));
    health.counts = counts.counts(now);
    statement.pools.push_back(health);
  }
  for (const std::uint64_t worker : accused(now)) {
    tell(worker, now, statement);
  }
  std::size_t watched_told = 0;
  for (const std::uint64_t worker : watched_) {
    if (watched_told++ == MaximumWatched) {
      break;
    }
    tell(worker, now, statement);
  }
  for (std::size_t count = 0; count < ReportedInTurn && !workers_.empty(); ++count) {
    auto next = workers_.upper_bound(turn_);
    next = next == workers_.end() ? workers_.begin() : next;
    turn_ = next->first;
    tell(turn_, now, statement);
  }
  return statement;
}

std::uint32_t EvidenceRecorder::inFlight(std::uint64_t worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.in_flight;
}

}  // namespace switchsaddle::worker_health
