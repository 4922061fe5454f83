#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::front {

/** Counts since the start of this front, for /metrics. Control strand. */
struct Counters {
  std::uint64_t streams_started = 0;
  std::uint64_t streams_finished = 0;
  std::uint64_t streams_broken = 0;
  std::uint64_t stream_pieces = 0;
  std::uint64_t one_shots_ran = 0;
  std::uint64_t one_shots_not_run = 0;
  std::uint64_t one_shots_unknown = 0;
  std::uint64_t one_shots_replayed = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::map<base::ResultCode, std::uint64_t> refusals;

  /** The counters in Prometheus' text format. */
  std::string toPrometheusText() const;
};

}  // namespace switchsaddle::front
