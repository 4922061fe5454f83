#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::worker_health {

/** Shorter pauses are never stalls. */
inline constexpr base::Duration MinimumStall = std::chrono::milliseconds(100);

/** The result of comparing a stream with those of other workers. */
struct PeerComparisonResult {
  /** Whether the stream was long enough and enough others of its kind were recorded. */
  bool comparable = false;
  bool stalled = false;
  bool slow = false;
};

/**
 * Compares a stream with the others of the same kind of work that this front relayed. Load,
 * length and this front's own link affect all workers alike, so the medians already include their
 * effect. A stream stalled if its longest pause is far above the median of longest pauses; it was
 * slow if its time per event is far above the median. Medians come from decaying histograms of
 * bounded size. Runs on the control strand.
 */
class PeerComparison {
 public:
  PeerComparison();
  ~PeerComparison();
  PeerComparison(const PeerComparison&) = delete;
  PeerComparison& operator=(const PeerComparison&) = delete;

  /** Compares the sample, then adds it to those of its kind. */
  PeerComparisonResult compare(std::uint64_t kind, const DispatchSample& sample);

 private:
  struct Kind;

  /** @return the kind's distributions, or null if there are too many kinds. */
  Kind* findOrCreate(std::uint64_t kind);

  std::map<std::uint64_t, std::unique_ptr<Kind>> kinds_;
};

}  // namespace switchsaddle::worker_health
