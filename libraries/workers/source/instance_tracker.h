#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/workers/platform_watcher.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

/**
 * Assigns an instance (incarnation) to each worker of the platform's list and damps flapping.
 *
 * A worker starts a new instance when it is listed for the first time, returns to the list, changes
 * its address or its generation, or withdraws its draining. A worker that returns is suppressed
 * until a number of consecutive readings list it; the number doubles with each return within
 * PlatformWatcherOptions::flap_window (flap damping). A listed worker that fronts observed to be
 * unreachable starts a new instance after an exponential backoff.
 *
 * Invariant: the instance of a worker never decreases. Runs on the control strand.
 */
class InstanceTracker {
 public:
  /**
   * @param directory source of the fronts' observations; must outlive the tracker.
   * @param journal receives an event for each instance started; must outlive the tracker.
   */
  InstanceTracker(const base::Dispatcher& dispatcher, const WorkerDirectory& directory,
                  journal::Journal& journal, const PlatformWatcherOptions& options);

  /** Discards all state; the workers of a published view keep their instances. */
  void reset(const std::vector<wire::WorkerEntry>& published);

  /**
   * Applies one reading of the platform's list.
   * @param listed the workers of the reading; `instance` is the platform's generation.
   * @param new_instance the instance of workers that start one with this reading.
   * @return the entries to publish, ordered by id.
   */
  std::vector<wire::WorkerEntry> update(const std::vector<wire::WorkerEntry>& listed,
                                        std::uint64_t new_instance);

 private:
  /** State of one worker between readings. */
  struct Track {
    wire::WorkerEntry published;
    bool listed = false;
    /** The platform's generation of the worker; zero if unknown. */
    std::uint64_t generation = 0;
    /** Confirmed returns within the flap window. */
    std::uint32_t flaps = 0;
    base::TimePoint last_flap;
    /** Consecutive readings that listed the worker since it returned or withdrew its draining. */
    std::uint32_t confirming_readings = 0;
    /** The worker returned and is not published until enough readings confirm it. */
    bool suppressed = false;
    /** New instances started because fronts observed the worker to be unreachable. */
    std::uint32_t reinstatements = 0;
    std::optional<base::TimePoint> unreachable_since;
  };

  void markUnlisted(const std::map<std::string, const wire::WorkerEntry*>& listed);
  void removeUnlisted();
  /** @return the entry to publish, or std::nullopt while the worker is suppressed. */
  std::optional<wire::WorkerEntry> admit(const wire::WorkerEntry& entry,
                                         std::uint64_t new_instance);
  wire::WorkerEntry startInstance(Track& track, const wire::WorkerEntry& entry,
                                  std::uint64_t new_instance);
  static wire::WorkerEntry continueInstance(Track& track, const wire::WorkerEntry& entry);
  /** Counts a reading; @return whether enough readings have confirmed the worker's new state. */
  bool confirm(Track& track, const wire::WorkerEntry& entry);
  /** @return the consecutive readings required by flap damping. */
  std::uint32_t requiredReadings(const Track& track, bool withdraws_draining) const;
  /** @return whether the backoff of an unreachable worker has passed. */
  bool shouldReinstate(Track& track);
  bool isObservedUnreachable(const Track& track) const;

  const base::Dispatcher& dispatcher_;
  const WorkerDirectory& directory_;
  journal::Journal& journal_;
  PlatformWatcherOptions options_;
  std::map<std::string, Track> tracks_;
};

}  // namespace switchsaddle::workers
