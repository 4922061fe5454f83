#pragma once

#include <functional>
#include <optional>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/workers/platform_source.h"
#include "switchsaddle/workers/platform_watcher.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

/**
 * Reads the platform's worker list while no node publishes it, and reports the workers that the
 * list shows as draining. Nothing else is taken from the list: new workers and changes wait for a
 * node that holds the platform-watcher lease.
 *
 * Invariant: only instances of the view in force are reported, so that a report can be made by
 * several nodes at a time and in any order. Runs on the control strand.
 */
class BackupListReader {
 public:
  using HasPublisher = std::function<bool()>;
  using Report = std::function<void(const wire::WorkerObservation& observation)>;

  /**
   * @param source and @param directory outlive the reader.
   * @param options its interval and the time limit of a reading are used.
   * @param has_publisher returns whether some node seems to publish the list.
   * @param report receives each observation that the directory does not contain yet.
   */
  BackupListReader(base::Dispatcher& dispatcher, PlatformSource& source,
                   const WorkerDirectory& directory, const PlatformWatcherOptions& options,
                   HasPublisher has_publisher, Report report);

  void start();
  void stop();

 private:
  void onInterval();
  void onReading(const PlatformReading& reading);
  /** Reports the listed worker if its instance in the view in force is not known to be draining. */
  void reportIfDraining(const wire::WorkerEntry& listed, const WorkerSnapshot& known);

  base::Dispatcher& dispatcher_;
  PlatformSource& source_;
  const WorkerDirectory& directory_;
  PlatformWatcherOptions options_;
  HasPublisher has_publisher_;
  Report report_;
  base::TimerPtr timer_;
  bool running_ = false;
  /** Start of the reading that has not returned yet. */
  std::optional<base::TimePoint> reading_since_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::workers
