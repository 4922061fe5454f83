#pragma once

#include <cstdint>
#include <unordered_map>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/load_messages.h"

namespace switchsaddle::routing {

/**
 * What the other fronts have under way at workers, as the cores last told. Prompts that were being
 * read then are taken to have been read on since. A view that is not told anew in time says nothing
 * any more: the front then goes by its own load alone. Runs on the control strand.
 */
class PeerLoad {
 public:
  /** How long a view is used. */
  static constexpr base::Duration Lifetime = std::chrono::seconds(2);

  struct Load {
    double requests = 0;
    /** Seconds of prompts still to be read. */
    double prefill_s = 0;
  };

  void set(const wire::FleetLoad& load, base::TimePoint now);
  /** Of the worker with this workers::loadKey(); of one that was not told of, the mean of these. */
  Load of(std::uint32_t worker, base::TimePoint now) const;
  bool known(base::TimePoint now) const { return reported_ && now - reported_at_ < Lifetime; }

 private:
  std::unordered_map<std::uint32_t, wire::WorkerLoad> loads_;
  double rest_requests_ = 0;
  double rest_prefill_ms_ = 0;
  base::TimePoint reported_at_{};
  bool reported_ = false;
};

}  // namespace switchsaddle::routing
