#include "fleet_recorder.h"

#include <algorithm>

namespace switchsaddle::experiments {

namespace {

constexpr base::Duration SlowStartWindow = std::chrono::seconds(2);
constexpr base::Duration SlowStartObservation = std::chrono::seconds(20);
constexpr base::Duration Step = std::chrono::milliseconds(250);
constexpr double MillisecondsPerSecond = 1'000.0;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool FleetRecorder::measuring(base::TimePoint now) const {
  return now.time_since_epoch() >= settings_.warm_up;
}

void FleetRecorder::onPlaced(std::size_t worker, base::TimePoint now) {
  if (measuring(now)) {
    placed_.push_back(Placed{worker, now});
  }
}

void FleetRecorder::onFirstToken(base::Duration since_arrival, base::TimePoint now) {
  if (measuring(now)) {
    first_tokens_s_.push_back(secondsOf(since_arrival));
  }
}

void FleetRecorder::onDone(const ModelledPrompt& prompt, const StreamResult& result,
                           base::TimePoint now) {
  if (measuring(now)) {
    cached_tokens_ += result.cached_tokens;
    prefix_tokens_ += prompt.prefix_tokens;
    output_tokens_ += prompt.output_tokens;
  }
}

void FleetRecorder::onSlowStart(std::size_t worker, base::TimePoint now) {
  slow_starts_.push_back(SlowStart{worker, now});
}

double FleetRecorder::percentile(double share) const {
  if (first_tokens_s_.empty()) {
    return 0;
  }
  std::vector<double> sorted = first_tokens_s_;
  const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<std::size_t>(place)];
}

double FleetRecorder::fairShare(base::Duration window) const {
  return settings_.streams_per_s * secondsOf(window) / settings_.workers;
}

double FleetRecorder::slowStartShare(base::Duration offset, base::Duration window) const {
  double largest = 0;
  for (const SlowStart& start : slow_starts_) {
    const base::TimePoint from = start.at + offset;
    const auto inside = std::count_if(placed_.begin(), placed_.end(), [&](const Placed& one) {
      return one.worker == start.worker && one.at >= from && one.at < from + window;
    });
    largest = std::max(largest, static_cast<double>(inside) / fairShare(window));
  }
  return largest;
}

double FleetRecorder::largestLaterSlowStartShare() const {
  double largest = 0;
  for (base::Duration offset = SlowStartWindow; offset < SlowStartObservation; offset += 2 * Step) {
    largest = std::max(largest, slowStartShare(offset, SlowStartWindow));
  }
  return largest;
}

double FleetRecorder::secondsUntilHalfFairShare() const {
  double longest = 0;
  for (const SlowStart& start : slow_starts_) {
    base::Duration end = SlowStartWindow;
    for (; end < SlowStartObservation; end += Step) {
      const base::TimePoint until = start.at + end;
      const auto inside = std::count_if(placed_.begin(), placed_.end(), [&](const Placed& one) {
        return one.worker == start.worker && one.at >= until - SlowStartWindow && one.at < until;
      });
      if (static_cast<double>(inside) >= 0.5 * fairShare(SlowStartWindow)) {
        break;
      }
    }
    longest = std::max(longest, secondsOf(end));
  }
  return longest;
}

double FleetRecorder::spread() const {
  std::vector<std::uint64_t> counts;
  for (const Placed& one : placed_) {
    counts.resize(std::max(counts.size(), one.worker + 1));
    ++counts[one.worker];
  }
  double total = 0;
  double most = 0;
  double steady = 0;
  for (std::size_t worker = 0; worker < counts.size(); ++worker) {
    const bool started_late =
        std::any_of(slow_starts_.begin(), slow_starts_.end(),
                    [worker](const SlowStart& start) { return start.worker == worker; });
    if (!started_late) {
      total += static_cast<double>(counts[worker]);
      most = std::max(most, static_cast<double>(counts[worker]));
      ++steady;
    }
  }
  return total > 0 ? most * steady / total : 0;
}

std::vector<Measure> FleetRecorder::measures() const {
  const double measured_s = secondsOf(settings_.duration - settings_.warm_up);
  const double prefix_tokens = static_cast<double>(std::max<std::uint64_t>(1, prefix_tokens_));
  const double front_seconds = secondsOf(settings_.duration) * settings_.fronts;
  return {{"first_token_p50_ms", percentile(0.5) * MillisecondsPerSecond},
          {"first_token_p95_ms", percentile(0.95) * MillisecondsPerSecond},
          {"cached_share", static_cast<double>(cached_tokens_) / prefix_tokens},
          {"spread", spread()},
          {"tokens_per_s", static_cast<double>(output_tokens_) / measured_s},
          {"cold_share_2s", slowStartShare(base::Duration::zero(), SlowStartWindow)},
          {"cold_share_later", largestLaterSlowStartShare()},
          {"warm_after_s", secondsUntilHalfFairShare()},
          {"lost", static_cast<double>(lost_)},
          {"score_bytes_per_front_s", static_cast<double>(score_bytes_) / front_seconds}};
}

}  // namespace switchsaddle::experiments
