#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"

namespace switchsaddle::base {

/** Rate limits of an IncidentLog. */
struct IncidentLogOptions {
  /** Minimum time between two dumps caused by the same event. */
  Duration dump_interval = std::chrono::minutes(1);
  /** Maximum lines per second of one event; the next line states how many were suppressed. */
  std::uint64_t lines_per_second = 5;
  /** Maximum number of dump files; the oldest is replaced. */
  std::size_t files = LogRing::DefaultFiles;
};

/**
 * Logs incidents as key=value lines and dumps the log ring into a folder for those that request it,
 * both rate-limited by event. Without a folder it logs once that dumps are not written. Failure to
 * write a dump is logged and never fatal. Runs on the control strand.
 */
class IncidentLog : public IncidentSink {
 public:
  /**
   * @param ring must outlive this.
   * @param folder receives the dumps; empty for none.
   */
  IncidentLog(Dispatcher& dispatcher, const LogRing& ring, std::filesystem::path folder,
              IncidentLogOptions options = {});

  void report(const Incident& incident) override;
  /** @return the number of dumps written. */
  std::uint64_t dumps() const { return dumps_; }

 private:
  /** Rate limiter state of one event. */
  struct EventState {
    TimePoint window_start;
    std::uint64_t lines_in_window = 0;
    /** Lines suppressed since the last one written. */
    std::uint64_t suppressed_lines = 0;
    std::optional<TimePoint> dumped_at;
  };

  /** Counts a line against the rate limit; @return whether it may be written. */
  bool admitLine(EventState& state);
  static void writeLine(const Incident& incident, std::uint64_t suppressed_lines);
  void dump(std::string_view event, EventState& state);
  void reportMissingFolder();

  Dispatcher& dispatcher_;
  const LogRing& ring_;
  std::filesystem::path folder_;
  IncidentLogOptions options_;
  std::map<std::string, EventState, std::less<>> events_;
  std::uint64_t dumps_ = 0;
  bool reported_missing_folder_ = false;
};

}  // namespace switchsaddle::base
