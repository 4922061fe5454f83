#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/workers/platform_source.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

/** Times and bounds of the platform watcher. */
struct PlatformWatcherOptions {
  base::Duration poll_interval = std::chrono::milliseconds(500);
  /** A reading without an answer for this long is given up for the next. */
  base::Duration longest_reading = std::chrono::milliseconds(2'500);
  /** With the list unreadable for this long, another node had better try. */
  base::Duration unreadable_bound = std::chrono::milliseconds(1'000);
  /** Comebacks of one worker count against it for this long. */
  base::Duration flap_memory = std::chrono::seconds(60);
  /** Readings in a row which a worker must be listed as ready for after draining was withdrawn. */
  std::uint32_t undrain_readings = 4;
  /** Most readings in a row that are asked of a flapping worker. */
  std::uint32_t maximum_readings = 64;
  /** A listed worker which fronts saw gone gets a new instance after this long, doubled each time.
   */
  base::Duration reinstate_after = std::chrono::seconds(10);
  /** Most doublings of reinstate_after. */
  std::uint32_t maximum_doublings = 5;
  /** Readings in a row with an older list generation which are passed over as lagging. */
  std::uint32_t lagging_readings = 20;
};

/**
 * Turns the platform's lagging list into worker views ordered by (term, sequence), while this node
 * holds the platform-watcher lease. A worker that left and came back, changed its address or its
 * generation, or withdrew its draining gets a new instance: the (term, sequence) of the view that
 * brings it, which is above every instance given out before. A worker which fronts saw gone
 * although it is listed without a break is tried again under a new instance after a growing while.
 * An unreadable list, and one which is suddenly empty, leave the last in force and are journalled.
 * Runs on the control strand.
 */
class PlatformWatcher {
 public:
  using Publish = std::function<void(const wire::WorkerView&)>;

  /**
   * `directory` gives the view and observations known at this node. `publish` hands a new view to
   * dissemination and applies it to the directory.
   */
  PlatformWatcher(base::Dispatcher& dispatcher, PlatformSource& source,
                  const WorkerDirectory& directory, journal::Journal& journal,
                  PlatformWatcherOptions options, Publish publish);

  /** The lease is held with this term: polls at once, then each interval. */
  void start(std::uint64_t term);
  /** The lease is no longer held: nothing is published from now on. */
  void stop();
  /** Told each time the list has been unreadable here for the bound. */
  void setUnreadableListener(std::function<void()> listener) {
    unreadable_listener_ = std::move(listener);
  }
  bool running() const { return term_ != 0; }
  std::uint64_t term() const { return term_; }

 private:
  /** What the watcher remembers of one worker between readings. */
  struct Track {
    wire::WorkerEntry published;
    bool listed = false;
    /** The platform's own generation; zero where it is not known. */
    std::uint64_t generation = 0;
    std::uint32_t comebacks = 0;
    base::TimePoint last_comeback;
    /** Readings in a row in which a held back worker was listed as ready. */
    std::uint32_t steady_readings = 0;
    bool held_back = false;
    std::uint32_t reinstated = 0;
    bool unreachable_noticed = false;
    base::TimePoint unreachable_since;
  };

  void poll();
  void onReading(const PlatformReading& reading);
  bool refuse(const PlatformReading& reading);
  void noteUnreadable();
  void note(const std::string& what);
  wire::WorkerView nextView(const PlatformReading& reading);
  bool include(const wire::WorkerEntry& entry, std::uint64_t instance, wire::WorkerEntry& result);
  bool startInstance(Track& track, wire::WorkerEntry entry, std::uint64_t instance,
                     wire::WorkerEntry& result);
  bool settled(Track& track, const wire::WorkerEntry& entry);
  bool shouldReinstate(Track& track);
  void adopt(const wire::WorkerView& view);

  base::Dispatcher& dispatcher_;
  PlatformSource& source_;
  const WorkerDirectory& directory_;
  journal::Journal& journal_;
  PlatformWatcherOptions options_;
  Publish publish_;
  base::TimerPtr timer_;
  /** Zero while the lease is not held. */
  std::uint64_t term_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t reading_ = 0;
  /** Set while a reading is under way. */
  std::optional<base::TimePoint> reading_since_;
  std::optional<base::TimePoint> unreadable_since_;
  std::function<void()> unreadable_listener_;
  std::uint64_t list_generation_ = 0;
  std::uint32_t lagging_ = 0;
  std::string last_note_;
  std::map<std::string, Track> tracks_;
  std::vector<wire::WorkerEntry> published_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/** The instance of a worker first listed by the view (term, sequence). */
std::uint64_t workerInstance(std::uint64_t term, std::uint64_t sequence);

}  // namespace switchsaddle::workers
