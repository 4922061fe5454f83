#include "switchsaddle/front/node/counters.h"

namespace switchsaddle::front {

namespace {

std::string codeText(base::ResultCode code) {
  return std::to_string(static_cast<std::uint16_t>(code));
}

}  // namespace

void Counters::appendTo(metrics::Page& page) const {
  const auto add = [&page](const char* name, const char* help, std::uint64_t value) {
    page.counter(name, help, static_cast<double>(value));
  };
  add("streams_started_total", "Stream requests dispatched to a worker.", streams_started);
  add("streams_finished_total", "Streams that their worker completed.", streams_finished);
  add("streams_broken_total", "Streams that failed after their first chunk.", streams_broken);
  add("stream_pieces_total", "Stream chunks relayed to callers.", stream_chunks);
  add("one_shots_ran_total", "One-shot requests that ran, without replayed answers.",
      one_shots_ran);
  add("one_shots_not_run_total", "One-shot requests answered with the outcome not-run.",
      one_shots_not_run);
  add("one_shots_unknown_total", "One-shot requests answered with the outcome unknown.",
      one_shots_unknown);
  add("one_shots_replayed_total", "One-shot requests answered with a recorded answer.",
      one_shots_replayed);
  add("dispatches_total", "Dispatches of requests to workers, including retries.", dispatches);
  add("resends_total", "Dispatches of a request that had been dispatched before.", resends);
  add("worker_responses_without_memory_total",
      "Responses of workers that were given up for lack of memory.", responses_without_memory);
  add("retries_total", "Dispatches after the first attempt of a request failed.", retries);
  for (const auto& [code, count] : refusals) {
    page.counter("refusals_total", "Rejected requests by result code.", static_cast<double>(count),
                 {{"code", codeText(code)}});
  }
  for (const auto& [request, count] : requests) {
    const auto& [kind, outcome, code] = request;
    page.counter(
        "requests_total", "Ended requests by kind, outcome and result code.",
        static_cast<double>(count),
        {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}, {"code", codeText(code)}});
  }
  page.histogram("first_token_seconds", "Time from the dispatch to the first token, in seconds.",
                 first_token);
}

}  // namespace switchsaddle::front
