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
  add("streams_started_total", "Streams dispatched to a worker.", streams_started);
  add("streams_finished_total", "Streams that their worker finished.", streams_finished);
  add("streams_broken_total", "Streams that broke off after their first piece.", streams_broken);
  add("stream_pieces_total", "Pieces relayed.", stream_chunks);
  add("one_shots_ran_total", "One-shots that ran.", one_shots_ran);
  add("one_shots_not_run_total", "One-shots answered not-run.", one_shots_not_run);
  add("one_shots_unknown_total", "One-shots answered unknown.", one_shots_unknown);
  add("one_shots_replayed_total", "One-shots answered by a recorded answer.", one_shots_replayed);
  add("dispatches_total", "Requests sent to workers.", dispatches);
  add("retries_total", "Dispatches after a first one failed.", retries);
  for (const auto& [code, count] : refusals) {
    page.counter("refusals_total", "Refusals by result code.", static_cast<double>(count),
                 {{"code", codeText(code)}});
  }
  for (const auto& [request, count] : requests) {
    const auto& [kind, outcome, code] = request;
    page.counter(
        "requests_total", "Ended requests by kind, outcome and result code.",
        static_cast<double>(count),
        {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}, {"code", codeText(code)}});
  }
  page.histogram("first_token_seconds", "From dispatch to the first token.", first_token);
}

}  // namespace switchsaddle::front
