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
  /** Dump files kept; the oldest is replaced. */
  std::size_t files = LogRing::DefaultFiles;
};

/**
 * Writes incidents as key=value lines and, for those that ask for it, the log ring into a folder:
 * at most once in each pause for one event, into a bounded number of files. Without a folder says
 * once that the ring stays in memory. A folder that can't be written is told and never fatal. Runs
 * on the control strand.
 */
class IncidentLog : public IncidentSink {
 public:
  /** An empty folder means none. */
  IncidentLog(Dispatcher& dispatcher, const LogRing& ring, std::filesystem::path folder,
              IncidentLogOptions options = {});

  void report(const Incident& incident) override;
  std::uint64_t dumps() const { return dumps_; }

 private:
  bool isDue(std::string_view event);
  void dump(std::string_view event);

  Dispatcher& dispatcher_;
  const LogRing& ring_;
  std::filesystem::path folder_;
  IncidentLogOptions options_;
  std::map<std::string, TimePoint, std::less<>> last_dumps_;
  std::uint64_t dumps_ = 0;
  bool told_without_folder_ = false;
};

}  // namespace switchsaddle::base
