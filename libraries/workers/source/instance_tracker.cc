#include "instance_tracker.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::workers {

namespace {

/** Limits the shift in requiredReadings(), independently of the options. */
constexpr std::uint32_t MaximumFlapDoublings = 16;

}  // namespace

InstanceTracker::InstanceTracker(const base::Dispatcher& dispatcher,
                                 const WorkerDirectory& directory, journal::Journal& journal,
                                 const PlatformWatcherOptions& options)
    : dispatcher_(dispatcher), directory_(directory), journal_(journal), options_(options) {}

void InstanceTracker::reset(const std::vector<wire::WorkerEntry>& published) {
  tracks_.clear();
  for (const wire::WorkerEntry& entry : published) {
    Track& track = tracks_[entry.id];
    track.published = entry;
    track.listed = true;
  }
}

std::vector<wire::WorkerEntry> InstanceTracker::update(const std::vector<wire::WorkerEntry>& listed,
                                                       std::uint64_t new_instance) {
  std::map<std::string, const wire::WorkerEntry*> listed_by_id;
  for (const wire::WorkerEntry& entry : listed) {
    listed_by_id[entry.id] = &entry;
  }
  markUnlisted(listed_by_id);
  std::vector<wire::WorkerEntry> published;
  for (const auto& [id, entry] : listed_by_id) {
    if (auto admitted = admit(*entry, new_instance)) {
      published.push_back(std::move(*admitted));
    }
  }
  removeUnlisted();
  return published;
}

void InstanceTracker::markUnlisted(const std::map<std::string, const wire::WorkerEntry*>& listed) {
  for (auto& [id, track] : tracks_) {
    if (!listed.contains(id)) {
      track.listed = false;
      track.confirming_readings = 0;
    }
  }
}

void InstanceTracker::removeUnlisted() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(tracks_, [&](const auto& item) {
    const Track& track = item.second;
    return !track.listed && now - track.last_flap > options_.flap_window;
  });
}

std::optional<wire::WorkerEntry> InstanceTracker::admit(const wire::WorkerEntry& entry,
                                                        std::uint64_t new_instance) {
  const auto [found, is_new] = tracks_.try_emplace(entry.id);
  Track& track = found->second;
  if (is_new) {
    track.last_flap = dispatcher_.now();
    return startInstance(track, entry, new_instance);
  }
  const bool restarted = track.generation != 0 && entry.instance != track.generation;
  const bool moved = entry.address != track.published.address;
  const bool returned = !track.listed || restarted || moved || track.suppressed;
  const bool withdraws_draining = track.published.state == wire::WorkerState::Draining &&
                                  entry.state == wire::WorkerState::Ready;
  if (returned || withdraws_draining) {
    if (confirm(track, entry)) {
      return startInstance(track, entry, new_instance);
    }
    return returned ? std::nullopt : std::optional(track.published);
  }
  if (shouldReinstate(track)) {
    return startInstance(track, entry, new_instance);
  }
  return continueInstance(track, entry);
}

wire::WorkerEntry InstanceTracker::startInstance(Track& track, const wire::WorkerEntry& entry,
                                                 std::uint64_t new_instance) {
  track.generation = entry.instance;
  track.listed = true;
  track.suppressed = false;
  track.confirming_readings = 0;
  track.published = entry;
  track.published.instance = new_instance;
  journal_.append(journal::Subject::Workers, "platform/" + entry.id,
                  "instance " + std::to_string(new_instance), new_instance);
  return track.published;
}

wire::WorkerEntry InstanceTracker::continueInstance(Track& track, const wire::WorkerEntry& entry) {
  const std::uint64_t instance = track.published.instance;
  track.confirming_readings = 0;
  track.generation = entry.instance;
  track.published = entry;
  track.published.instance = instance;
  return track.published;
}

bool InstanceTracker::confirm(Track& track, const wire::WorkerEntry& entry) {
  const base::TimePoint now = dispatcher_.now();
  if (now - track.last_flap > options_.flap_window) {
    track.flaps = 0;
  }
  const bool withdraws_draining = track.listed && !track.suppressed &&
                                  track.published.state == wire::WorkerState::Draining &&
                                  entry.address == track.published.address;
  track.suppressed = !withdraws_draining;
  track.listed = true;
  ++track.confirming_readings;
  if (track.confirming_readings < requiredReadings(track, withdraws_draining)) {
    return false;
  }
  ++track.flaps;
  track.last_flap = now;
  return true;
}

std::uint32_t InstanceTracker::requiredReadings(const Track& track, bool withdraws_draining) const {
  const std::uint32_t doublings = std::min(track.flaps, MaximumFlapDoublings);
  const std::uint32_t required = std::min(1U << doublings, options_.maximum_readings);
  return withdraws_draining ? std::max(required, options_.undrain_readings) : required;
}

bool InstanceTracker::shouldReinstate(Track& track) {
  if (!isObservedUnreachable(track)) {
    track.unreachable_since.reset();
    return false;
  }
  const base::TimePoint now = dispatcher_.now();
  if (!track.unreachable_since) {
    track.unreachable_since = now;
    return false;
  }
  const std::uint32_t doublings = std::min(track.reinstatements, options_.maximum_doublings);
  const base::Duration backoff = options_.reinstate_after * (1U << doublings);
  if (now - *track.unreachable_since < backoff) {
    return false;
  }
  ++track.reinstatements;
  track.unreachable_since.reset();
  return true;
}

bool InstanceTracker::isObservedUnreachable(const Track& track) const {
  const WorkerSnapshotPtr snapshot = directory_.snapshot();
  const auto found = snapshot->workers.find(track.published.id);
  return found != snapshot->workers.end() && found->second.unreachable && !found->second.draining &&
         found->second.entry.instance == track.published.instance;
}

}  // namespace switchsaddle::workers
