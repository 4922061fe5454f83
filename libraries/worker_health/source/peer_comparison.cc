#include "switchsaddle/worker_health/peer_comparison.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace switchsaddle::worker_health {

namespace {

namespace histogram = boost::histogram;

/** Streams with fewer events say nothing of pauses. */
constexpr std::uint32_t FewestEvents = 4;
/** Streams of a kind to be known before one is compared. */
constexpr double FewestPeers = 12;
/** Kinds of work that are told apart; of further ones nothing is compared. */
constexpr std::size_t MaximumKinds = 256;
/** With so many in a histogram, each counts half. */
constexpr double MaximumPeers = 512;
/** How far above the median is sick. */
constexpr double StallFactor = 3;
constexpr double SlowFactor = 1.7;
/** The histograms' range, in seconds, and their resolution. */
constexpr double LeastS = 0.000'1;
constexpr double MostS = 100;
constexpr unsigned Bins = 80;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** A distribution of times that forgets. */
class TimeDistribution {
 public:
  void add(double seconds) {
    counts_(std::clamp(seconds, LeastS, MostS * 0.999));
    ++total_;
    if (total_ >= MaximumPeers) {
      counts_ *= 0.5;
      total_ *= 0.5;
    }
  }
  double total() const { return total_; }
  /** In seconds; the middle of the bin it is in. */
  double median() const {
    double below = 0;
    for (const auto& bin : histogram::indexed(counts_)) {
      below += *bin;
      if (below * 2 >= total_) {
        return bin.bin(0).center();
      }
    }
    return MostS;
  }

 private:
  using Counts = decltype(histogram::make_histogram_with(histogram::dense_storage<double>(),
                                                         LogAxis(Bins, LeastS, MostS)));
  Counts counts_ = histogram::make_histogram_with(histogram::dense_storage<double>(),
                                                  LogAxis(Bins, LeastS, MostS));
  double total_ = 0;
};

}  // namespace

struct PeerComparison::Kind {
  TimeDistribution longest_pauses;
  TimeDistribution event_times;
};

PeerComparison::PeerComparison() = default;
PeerComparison::~PeerComparison() = default;

PeerVerdict PeerComparison::compare(std::uint64_t kind, const DispatchSample& sample) {
  const bool whole = sample.end == DispatchEnd::Answered && !sample.held_back;
  if (!whole || sample.events < FewestEvents) {
    return {};
  }
  auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    if (kinds_.size() >= MaximumKinds) {
      return {};
    }
    found = kinds_.emplace(kind, std::make_unique<Kind>()).first;
  }
  Kind& peers = *found->second;
  const double pause_s = secondsOf(sample.longest_pause);
  const double event_s = secondsOf(sample.transfer) / (sample.events - 1);
  PeerVerdict verdict;
  verdict.comparable = peers.longest_pauses.total() >= FewestPeers;
  if (verdict.comparable) {
    verdict.stalled =
        pause_s > std::max(secondsOf(ShortestStall), StallFactor * peers.longest_pauses.median());
    verdict.slow = event_s > SlowFactor * peers.event_times.median();
  }
  peers.longest_pauses.add(pause_s);
  peers.event_times.add(event_s);
  return verdict;
}

}  // namespace switchsaddle::worker_health
