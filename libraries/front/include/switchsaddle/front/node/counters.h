#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/metrics/histogram.h"
#include "switchsaddle/metrics/page.h"

namespace switchsaddle::front {

/** Counters since the start of this front, for /metrics. Used on the control strand. */
struct Counters {
  std::uint64_t streams_started = 0;
  std::uint64_t streams_finished = 0;
  std::uint64_t streams_broken = 0;
  std::uint64_t stream_chunks = 0;
  std::uint64_t one_shots_ran = 0;
  std::uint64_t one_shots_not_run = 0;
  std::uint64_t one_shots_unknown = 0;
  std::uint64_t one_shots_replayed = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t resends = 0;
  /** Workers' responses that were given up for lack of memory. */
  std::uint64_t responses_without_memory = 0;
  std::map<base::ResultCode, std::uint64_t> refusals;
  /** Ended requests by kind ("stream" or "one-shot"), outcome and result code. */
  std::map<std::tuple<std::string_view, std::string_view, base::ResultCode>, std::uint64_t>
      requests;
  /** Time to first token, from the dispatch that produced it. */
  metrics::Histogram first_token{metrics::requestLatencyBounds()};

  /** Counts an ended request.
   * @param kind and @param outcome string constants: only views of them are stored. */
  void countRequest(std::string_view kind, std::string_view outcome, base::ResultCode code) {
    ++requests[{kind, outcome, code}];
  }
  /** Adds the counters to the page of metrics. */
  void appendTo(metrics::Page& page) const;
};

}  // namespace switchsaddle::front
