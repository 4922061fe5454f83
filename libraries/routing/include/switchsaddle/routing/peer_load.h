#pragma once

#include <cstdint>
#include <unordered_map>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/load_messages.h"

namespace switchsaddle::routing {

/**
 * The requests of the other fronts at each worker, as last reported by the cores. Prefill is
 * assumed to have progressed since the report. A report expires after Lifetime; the front then uses
 * only its own load. Runs on the control strand.
 */
class PeerLoad {
 public:
  /** How long a report is used. */
  static constexpr base::Duration Lifetime = std::chrono::seconds(2);

  /** The other fronts' load at one worker. */
  struct Load {
    double requests = 0;
    /** Prefill backlog in seconds. */
    double prefill_s = 0;
  };

  /** Replaces the report; ignored unless `load.known` is set. */
  void set(const wire::FleetLoad& load, base::TimePoint now);
  /**
   * @param worker workers::loadKey() of the instance.
   * @return the worker's load; the mean load of unlisted workers if the report does not list it;
   * zero load if the report has expired.
   */
  Load of(std::uint32_t worker, base::TimePoint now) const;
  /** Whether there is a report that has not expired. */
  bool known(base::TimePoint now) const { return reported_ && now - reported_at_ < Lifetime; }

 private:
  std::unordered_map<std::uint32_t, wire::WorkerLoad> loads_;
  /** Mean of the workers that are not listed. */
  double unlisted_mean_requests_ = 0;
  double unlisted_mean_prefill_ms_ = 0;
  base::TimePoint reported_at_{};
  bool reported_ = false;
};

}  // namespace switchsaddle::routing
