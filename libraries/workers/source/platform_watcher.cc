#include "switchsaddle/workers/platform_watcher.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::workers {

namespace {

/** Terms have up to 40 bits (epoch and count), which leaves 24 for the views of one term. */
constexpr unsigned TermShift = 24;

}  // namespace

std::uint64_t workerInstance(std::uint64_t term, std::uint64_t sequence) {
  return (term << TermShift) | sequence;
}

PlatformWatcher::PlatformWatcher(base::Dispatcher& dispatcher, PlatformSource& source,
                                 const WorkerDirectory& directory, journal::Journal& journal,
                                 PlatformWatcherOptions options, Publish publish)
    : dispatcher_(dispatcher),
      source_(source),
      directory_(directory),
      journal_(journal),
      options_(options),
      publish_(std::move(publish)),
      timer_(dispatcher.createTimer([this] { poll(); })) {}

void PlatformWatcher::start(std::uint64_t term) {
  if (term_ == term) {
    return;
  }
  term_ = term;
  sequence_ = 0;
  unreadable_since_.reset();
  reading_since_.reset();
  last_note_.clear();
  adopt(directory_.view());
  poll();
}

void PlatformWatcher::stop() {
  term_ = 0;
  timer_->disable();
}

void PlatformWatcher::adopt(const wire::WorkerView& view) {
  tracks_.clear();
  list_generation_ = 0;
  lagging_ = 0;
  published_ = view.workers;
  for (const wire::WorkerEntry& entry : view.workers) {
    Track& track = tracks_[entry.id];
    track.published = entry;
    track.listed = true;
  }
}

void PlatformWatcher::poll() {
  timer_->enable(options_.poll_interval);
  const base::TimePoint now = dispatcher_.now();
  if (reading_since_ && now - *reading_since_ < options_.longest_reading) {
    return;
  }
  reading_since_ = now;
  const std::uint64_t reading = ++reading_;
  source_.read(
      [this, alive = std::weak_ptr(alive_), reading, term = term_](const PlatformReading& result) {
        const bool outdated = alive.expired() || term_ != term || reading_ != reading;
        if (!outdated) {
          reading_since_.reset();
          onReading(result);
        }
      });
}

void PlatformWatcher::note(const std::string& what) {
  if (what == last_note_) {
    return;
  }
  last_note_ = what;
  journal_.append(journal::Subject::Workers, "platform", what, workerInstance(term_, sequence_));
}

bool PlatformWatcher::refuse(const PlatformReading& reading) {
  if (reading.code != base::ResultCode::Ok) {
    note("list unreadable, the last stays in force: " + reading.fault);
    noteUnreadable();
    return true;
  }
  unreadable_since_.reset();
  if (reading.workers.empty() && !published_.empty()) {
    note("list suddenly empty, the last stays in force");
    return true;
  }
  if (reading.generation < list_generation_ && lagging_ < options_.lagging_readings) {
    ++lagging_;
    note("list older than the last, which stays in force");
    return true;
  }
  return false;
}

void PlatformWatcher::noteUnreadable() {
  const base::TimePoint now = dispatcher_.now();
  if (!unreadable_since_) {
    unreadable_since_ = now;
  }
  if (now - *unreadable_since_ >= options_.unreadable_bound && unreadable_listener_) {
    unreadable_since_.reset();
    unreadable_listener_();
  }
}

void PlatformWatcher::onReading(const PlatformReading& reading) {
  if (refuse(reading)) {
    return;
  }
  note("list read");
  lagging_ = 0;
  list_generation_ = reading.generation;
  wire::WorkerView view = nextView(reading);
  if (sequence_ > 0 && view.workers == published_) {
    return;
  }
  ++sequence_;
  published_ = view.workers;
  publish_(view);
}

wire::WorkerView PlatformWatcher::nextView(const PlatformReading& reading) {
  wire::WorkerView view;
  view.term = term_;
  view.sequence = sequence_ + 1;
  const std::uint64_t instance = workerInstance(view.term, view.sequence);
  std::map<std::string, const wire::WorkerEntry*> listed;
  for (const wire::WorkerEntry& entry : reading.workers) {
    listed[entry.id] = &entry;
  }
  for (auto& [id, track] : tracks_) {
    if (!listed.contains(id)) {
      track.listed = false;
      track.steady_readings = 0;
    }
  }
  for (const auto& [id, entry] : listed) {
    wire::WorkerEntry result;
    if (include(*entry, instance, result)) {
      view.workers.push_back(std::move(result));
    }
  }
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(tracks_, [&](const auto& item) {
    return !item.second.listed && now - item.second.last_comeback > options_.flap_memory;
  });
  return view;
}

bool PlatformWatcher::include(const wire::WorkerEntry& entry, std::uint64_t instance,
                              wire::WorkerEntry& result) {
  const auto [found, is_new] = tracks_.try_emplace(entry.id);
  Track& track = found->second;
  if (is_new) {
    track.last_comeback = dispatcher_.now();
    return startInstance(track, entry, instance, result);
  }
  const bool restarted = track.generation != 0 && entry.instance != track.generation;
  const bool moved = entry.address != track.published.address;
  const bool undrained = track.published.state == wire::WorkerState::Draining &&
                         entry.state == wire::WorkerState::Ready;
  const bool came_back = !track.listed || restarted || moved || track.held_back;
  if (came_back || undrained) {
    const bool hold = !settled(track, entry);
    if (hold && undrained && !came_back) {
      result = track.published;
      return true;
    }
    return !hold && startInstance(track, entry, instance, result);
  }
  if (shouldReinstate(track)) {
    return startInstance(track, entry, instance, result);
  }
  track.steady_readings = 0;
  track.generation = entry.instance;
  const std::uint64_t kept = track.published.instance;
  track.published = entry;
  track.published.instance = kept;
  result = track.published;
  return true;
}

bool PlatformWatcher::settled(Track& track, const wire::WorkerEntry& entry) {
  const base::TimePoint now = dispatcher_.now();
  if (now - track.last_comeback > options_.flap_memory) {
    track.comebacks = 0;
  }
  const bool undrained = track.listed && !track.held_back &&
                         track.published.state == wire::WorkerState::Draining &&
                         entry.address == track.published.address;
  const std::uint32_t doublings = std::min<std::uint32_t>(track.comebacks, 16U);
  std::uint32_t needed = std::min(1U << doublings, options_.maximum_readings);
  if (undrained) {
    needed = std::max(needed, options_.undrain_readings);
  }
  track.held_back = !undrained;
  track.listed = true;
  ++track.steady_readings;
  if (track.steady_readings < needed) {
    return false;
  }
  ++track.comebacks;
  track.last_comeback = now;
  return true;
}

bool PlatformWatcher::shouldReinstate(Track& track) {
  const WorkerSnapshotPtr snapshot = directory_.snapshot();
  const auto known = snapshot->workers.find(track.published.id);
  const bool seen_gone = known != snapshot->workers.end() && known->second.gone &&
                         !known->second.draining &&
                         known->second.entry.instance == track.published.instance;
  if (!seen_gone) {
    track.unreachable_noticed = false;
    return false;
  }
  const base::TimePoint now = dispatcher_.now();
  if (!track.unreachable_noticed) {
    track.unreachable_noticed = true;
    track.unreachable_since = now;
    return false;
  }
  const std::uint32_t doublings = std::min(track.reinstated, options_.maximum_doublings);
  if (now - track.unreachable_since < options_.reinstate_after * (1U << doublings)) {
    return false;
  }
  ++track.reinstated;
  track.unreachable_noticed = false;
  return true;
}

bool PlatformWatcher::startInstance(Track& track, wire::WorkerEntry entry, std::uint64_t instance,
                                    wire::WorkerEntry& result) {
  track.generation = entry.instance;
  track.listed = true;
  track.held_back = false;
  track.steady_readings = 0;
  entry.instance = instance;
  track.published = std::move(entry);
  journal_.append(journal::Subject::Workers, "platform/" + track.published.id,
                  "instance " + std::to_string(instance), instance);
  result = track.published;
  return true;
}

}  // namespace switchsaddle::workers
