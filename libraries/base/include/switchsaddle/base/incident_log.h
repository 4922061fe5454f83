#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"

namespace switchsaddle::base {

/** Bounds of an IncidentLog. */
struct IncidentLogOptions {
  /** Least time between two dumps for one event. */
  Duration dump_pause = std::chrono::minutes(1);
  /** Most lines of one event in one second; the next line after that says how many were left out.
   */
  std::uint64_t lines_per_second = 5;
  /** Dump files kept; the oldest is replaced. */
  std::size_t files = LogRing::DefaultFiles;
};

/**
 * Writes incidents as key=value lines, a bounded number in each second, and, for those that ask for
 * it, the log ring into a folder: at most once in each pause for one event, into a bounded number
 * of files. Without a folder says once that the ring stays in memory. A folder that can't be
 * written is told and never fatal. Runs on the control strand.
 */
class IncidentLog : public IncidentSink {
 public:
  /** An empty folder means none. */
  IncidentLog(Dispatcher& dispatcher, const LogRing& ring, std::filesystem::path folder,
              IncidentLogOptions options = {});

  void report(const Incident& incident) override;
  std::uint64_t dumps() const { return dumps_; }

 private:
  /** What has been written of one event. */
  struct Written {
    TimePoint second_began;
    std::uint64_t lines = 0;
    std::uint64_t left_out = 0;
    std::optional<TimePoint> dumped_at;
  };

  /** Whether one more line may be written now. */
  bool mayWrite(Written& written);
  static void writeLine(const Incident& incident, std::uint64_t left_out);
  void dump(std::string_view event, Written& written);

  Dispatcher& dispatcher_;
  const LogRing& ring_;
  std::filesystem::path folder_;
  IncidentLogOptions options_;
  std::map<std::string, Written, std::less<>> written_;
  std::uint64_t dumps_ = 0;
  bool reported_missing_folder_ = false;
};

}  // namespace switchsaddle::base
