#pragma once

#include <cstdint>
#include <unordered_map>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/load_messages.h"

namespace switchsaddle::routing {

/**
 * The requests of the other fronts at each worker, as last reported by the cores. Prefill is
 * assumed to have progressed since the report. A report expires after Lifetime; the front then uses
 * its own load alone. Runs on the control strand.
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

  /** Replaces the report; ignored if the core does not know the fronts' loads. */
  void set(const wire::FleetLoad& load, base::TimePoint now);
  /**
   * @param worker workers::loadKey() of the instance.
   * @return the worker's load; for a worker that the report does not list, the report's mean of
   * those; nothing after the report has expired.
   */
  Load of(std::uint32_t worker, base::TimePoint now) const;
  /** Whether there is a report that has not expired. */
  bool known(base::TimePoint now) const { return reported_ && now - reported_at_ < Lifetime; }

 private:
  std::unordered_map<std::uint32_t, wire::WorkerLoad> loads_;
  /** Mean of the workers that are not listed. */
  double rest_requests_ = 0;
  double rest_prefill_ms_ = 0;
  base::TimePoint reported_at_{};
  bool reported_ = false;
};

}  // namespace switchsaddle::routing
