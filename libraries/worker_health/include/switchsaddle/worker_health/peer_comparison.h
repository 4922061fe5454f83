#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::worker_health {

/** Nobody minds a shorter pause. */
inline constexpr base::Duration ShortestStall = std::chrono::milliseconds(100);

/** What comparing a stream with those of other workers told. */
struct PeerVerdict {
  /** Whether it could be compared: it was long enough, and others like it are known. */
  bool comparable = false;
  bool stalled = false;
  bool slow = false;
};

/**
 * Compares a stream with the others of the same kind of work that this front relayed: their median
 * is what the load, the length and this front's own link explain, since they meet all workers
 * alike. A stream stalled if its longest pause is far above the median of such pauses, and was slow
 * if its time for an event is. Medians are kept as histograms of bounded size that forget. Runs on
 * the control strand.
 */
class PeerComparison {
 public:
  PeerComparison();
  ~PeerComparison();
  PeerComparison(const PeerComparison&) = delete;
  PeerComparison& operator=(const PeerComparison&) = delete;

  /** Compares the sample, then adds it to those of its kind. */
  PeerVerdict compare(std::uint64_t kind, const DispatchSample& sample);

 private:
  struct Kind;
  std::map<std::uint64_t, std::unique_ptr<Kind>> kinds_;
};

}  // namespace switchsaddle::worker_health
