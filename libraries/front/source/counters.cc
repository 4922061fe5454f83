#include "switchsaddle/front/counters.h"

namespace switchsaddle::front {

namespace {

void appendCounter(std::string& text, const std::string& name, std::uint64_t value) {
  text += "# TYPE switchsaddle_" + name + " counter\n";
  text += "switchsaddle_" + name + ' ' + std::to_string(value) + '\n';
}

}  // namespace

std::string Counters::toPrometheusText() const {
  std::string text;
  appendCounter(text, "streams_started_total", streams_started);
  appendCounter(text, "streams_finished_total", streams_finished);
  appendCounter(text, "streams_broken_total", streams_broken);
  appendCounter(text, "stream_pieces_total", stream_pieces);
  appendCounter(text, "one_shots_ran_total", one_shots_ran);
  appendCounter(text, "one_shots_not_run_total", one_shots_not_run);
  appendCounter(text, "one_shots_unknown_total", one_shots_unknown);
  appendCounter(text, "one_shots_replayed_total", one_shots_replayed);
  appendCounter(text, "dispatches_total", dispatches);
  appendCounter(text, "retries_total", retries);
  text += "# TYPE switchsaddle_refusals_total counter\n";
  for (const auto& [code, count] : refusals) {
    text += "switchsaddle_refusals_total{code=\"" +
            std::to_string(static_cast<std::uint16_t>(code)) + "\"} " + std::to_string(count) +
            '\n';
  }
  return text;
}

}  // namespace switchsaddle::front
