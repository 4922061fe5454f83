#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/workers/platform_source.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

class InstanceTracker;

/** Intervals and limits of the platform watcher. */
struct PlatformWatcherOptions {
  base::Duration poll_interval = std::chrono::milliseconds(500);
  /** Time limit of one reading; the next poll after it starts another. */
  base::Duration reading_timeout = std::chrono::milliseconds(2'500);
  /** Time without a readable list after which the unreadable listener is called. */
  base::Duration unreadable_bound = std::chrono::milliseconds(1'000);
  /** Time for which a worker's returns to the list count towards its flap damping. */
  base::Duration flap_window = std::chrono::seconds(60);
  /** Consecutive readings that must list a worker as ready before its draining is withdrawn. */
  std::uint32_t undrain_readings = 4;
  /** Maximum number of consecutive readings that flap damping requires. */
  std::uint32_t maximum_readings = 64;
  /**
   * Initial backoff before a new instance is started for a listed worker that fronts observed to be
   * unreachable; doubles with each reinstatement.
   */
  base::Duration reinstate_after = std::chrono::seconds(10);
  /** Maximum number of doublings of reinstate_after. */
  std::uint32_t maximum_doublings = 5;
  /** Consecutive readings of an older list generation that are ignored as stale; the next one is
   * accepted, since the platform may have restarted. */
  std::uint32_t lagging_readings = 20;
};

/**
 * Polls the platform's worker list and publishes worker views ordered by (term, sequence) while
 * this node holds the platform-watcher lease.
 *
 * A list is ignored and journalled if it is unreadable, older than the last one, or empty although
 * the last one was not; the last published view stays in force. InstanceTracker assigns the
 * instances of the workers.
 *
 * Invariant: a new instance is greater than every instance published before, because it is composed
 * of the term and sequence of the view that introduces it. Runs on the control strand.
 */
class PlatformWatcher {
 public:
  using Publish = std::function<void(const wire::WorkerView&)>;

  /**
   * @param directory supplies the view in force and the fronts' observations; must outlive this.
   * @param journal receives ignored lists and new instances; must outlive this.
   * @param publish disseminates a new view and applies it to the directory.
   */
  PlatformWatcher(base::Dispatcher& dispatcher, PlatformSource& source,
                  const WorkerDirectory& directory, journal::Journal& journal,
                  PlatformWatcherOptions options, Publish publish);
  ~PlatformWatcher();
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  /**
   * Starts polling, immediately and then at each interval.
   * @param term term of the acquired lease.
   */
  void start(std::uint64_t term);
  /** Stops polling after the lease is lost; no view is published afterwards. */
  void stop();
  /** The listener is called each time the list has been unreadable for
   * PlatformWatcherOptions::unreadable_bound. */
  void setUnreadableListener(std::function<void()> listener) {
    unreadable_listener_ = std::move(listener);
  }
  bool running() const { return term_ != 0; }
  std::uint64_t term() const { return term_; }

 private:
  void poll();
  void onReading(const PlatformReading& reading);
  /** Journals the reason if the reading is ignored; @return whether it is accepted. */
  bool accept(const PlatformReading& reading);
  void onUnreadable();
  void publishChanges(const PlatformReading& reading);
  /** Appends a journal event, unless it repeats the previous one. */
  void journalOnce(const std::string& event);

  base::Dispatcher& dispatcher_;
  PlatformSource& source_;
  const WorkerDirectory& directory_;
  journal::Journal& journal_;
  PlatformWatcherOptions options_;
  Publish publish_;
  std::unique_ptr<InstanceTracker> instances_;
  base::TimerPtr timer_;
  /** Zero while the lease is not held. */
  std::uint64_t term_ = 0;
  /** Sequence of the last view published in this term. */
  std::uint64_t sequence_ = 0;
  /** Number of the last reading started; results of earlier readings are ignored. */
  std::uint64_t reading_number_ = 0;
  /** Start of the reading in flight. */
  std::optional<base::TimePoint> reading_since_;
  std::optional<base::TimePoint> unreadable_since_;
  std::function<void()> unreadable_listener_;
  std::uint64_t list_generation_ = 0;
  /** Consecutive readings ignored as stale. */
  std::uint32_t stale_readings_ = 0;
  std::string last_journalled_;
  std::vector<wire::WorkerEntry> published_;
  base::CallbackScope callbacks_;
};

/** @return the instance of a worker introduced by the view (term, sequence). */
std::uint64_t workerInstance(std::uint64_t term, std::uint64_t sequence);

}  // namespace switchsaddle::workers
