#include "switchsaddle/worker_health/peer_comparison.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace switchsaddle::worker_health {

namespace {

namespace histogram = boost::histogram;

/** Streams with fewer events are not compared. */
constexpr std::uint32_t MinimumEvents = 4;
/** Streams of a kind that must be recorded before the next one is compared. */
constexpr double MinimumPeers = 12;
/** Maximum number of kinds of work with histograms; streams of further kinds are not compared. */
constexpr std::size_t MaximumKinds = 256;
/** When a histogram has this many samples, their weights are halved. */
constexpr double MaximumPeers = 512;
/** Multiples of the median above which a stream counts as stalled or slow. */
constexpr double StallFactor = 3;
constexpr double SlowFactor = 1.7;
/** The histograms' range, in seconds, and their resolution. */
constexpr double MinimumSeconds = 0.000'1;
constexpr double MaximumSeconds = 100;
constexpr unsigned Bins = 80;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** A decaying distribution of times. */
class TimeDistribution {
 public:
  void add(double seconds) {
    counts_(std::clamp(seconds, MinimumSeconds, MaximumSeconds * 0.999));
    ++total_;
    if (total_ >= MaximumPeers) {
      counts_ *= 0.5;
      total_ *= 0.5;
    }
  }
  double total() const { return total_; }
  /** @return the median in seconds, as the centre of its bin. */
  double median() const {
    double below = 0;
    for (const auto& bin : histogram::indexed(counts_)) {
      below += *bin;
      if (below * 2 >= total_) {
        return bin.bin(0).center();
      }
    }
    return MaximumSeconds;
  }

 private:
  using Counts = decltype(histogram::make_histogram_with(
      histogram::dense_storage<double>(), LogAxis(Bins, MinimumSeconds, MaximumSeconds)));
  Counts counts_ = histogram::make_histogram_with(histogram::dense_storage<double>(),
                                                  LogAxis(Bins, MinimumSeconds, MaximumSeconds));
  double total_ = 0;
};

}  // namespace

struct PeerComparison::Kind {
  TimeDistribution longest_pauses;
  TimeDistribution event_times;
};

PeerComparison::PeerComparison() = default;
PeerComparison::~PeerComparison() = default;

PeerComparison::Kind* PeerComparison::findOrCreate(std::uint64_t kind) {
  auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    if (kinds_.size() >= MaximumKinds) {
      return nullptr;
    }
    found = kinds_.emplace(kind, std::make_unique<Kind>()).first;
  }
  return found->second.get();
}

PeerComparisonResult PeerComparison::compare(std::uint64_t kind, const DispatchSample& sample) {
  const bool is_complete = sample.end == DispatchEnd::Answered && !sample.held_back;
  if (!is_complete || sample.events < MinimumEvents) {
    return {};
  }
  Kind* peers = findOrCreate(kind);
  if (peers == nullptr) {
    return {};
  }
  const double pause_s = secondsOf(sample.longest_pause);
  const double event_s = secondsOf(sample.transfer) / (sample.events - 1);
  PeerComparisonResult result;
  result.comparable = peers->longest_pauses.total() >= MinimumPeers;
  if (result.comparable) {
    result.stalled =
        pause_s > std::max(secondsOf(MinimumStall), StallFactor * peers->longest_pauses.median());
    result.slow = event_s > SlowFactor * peers->event_times.median();
  }
  peers->longest_pauses.add(pause_s);
  peers->event_times.add(event_s);
  return result;
}

}  // namespace switchsaddle::worker_health
