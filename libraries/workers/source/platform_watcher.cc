#include "switchsaddle/workers/platform_watcher.h"

#include <utility>

#include "instance_tracker.h"

namespace switchsaddle::workers {

namespace {

/** A term has up to 40 bits (epoch and count), which leaves 24 bits for the sequence. */
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
      instances_(std::make_unique<InstanceTracker>(dispatcher, directory, journal, options)),
      timer_(dispatcher.createTimer([this] { poll(); })) {}

PlatformWatcher::~PlatformWatcher() = default;

void PlatformWatcher::start(std::uint64_t term) {
  if (term_ == term) {
    return;
  }
  term_ = term;
  sequence_ = 0;
  unreadable_since_.reset();
  reading_since_.reset();
  last_journalled_.clear();
  list_generation_ = 0;
  stale_readings_ = 0;
  published_ = directory_.view().workers;
  instances_->reset(published_);
  poll();
}

void PlatformWatcher::stop() {
  term_ = 0;
  timer_->disable();
}

void PlatformWatcher::poll() {
  timer_->enable(options_.poll_interval);
  const base::TimePoint now = dispatcher_.now();
  if (reading_since_ && now - *reading_since_ < options_.reading_timeout) {
    return;
  }
  reading_since_ = now;
  const std::uint64_t number = ++reading_number_;
  source_.read(callbacks_.guard([this, number, term = term_](const PlatformReading& reading) {
    const bool superseded = term_ != term || reading_number_ != number;
    if (!superseded) {
      reading_since_.reset();
      onReading(reading);
    }
  }));
}

void PlatformWatcher::onReading(const PlatformReading& reading) {
  if (!accept(reading)) {
    return;
  }
  journalOnce("list read");
  stale_readings_ = 0;
  list_generation_ = reading.generation;
  publishChanges(reading);
}

bool PlatformWatcher::accept(const PlatformReading& reading) {
  if (reading.code != base::ResultCode::Ok) {
    journalOnce("list unreadable, the last list stays in force: " + reading.fault);
    onUnreadable();
    return false;
  }
  unreadable_since_.reset();
  if (reading.workers.empty() && !published_.empty()) {
    journalOnce("list suddenly empty, the last list stays in force");
    return false;
  }
  if (reading.generation < list_generation_ && stale_readings_ < options_.lagging_readings) {
    ++stale_readings_;
    journalOnce("list older than the last list, which stays in force");
    return false;
  }
  return true;
}

void PlatformWatcher::onUnreadable() {
  const base::TimePoint now = dispatcher_.now();
  if (!unreadable_since_) {
    unreadable_since_ = now;
  }
  if (now - *unreadable_since_ >= options_.unreadable_bound && unreadable_listener_) {
    unreadable_since_.reset();
    unreadable_listener_();
  }
}

void PlatformWatcher::publishChanges(const PlatformReading& reading) {
  wire::WorkerView view;
  view.term = term_;
  view.sequence = sequence_ + 1;
  view.workers = instances_->update(reading.workers, workerInstance(view.term, view.sequence));
  if (sequence_ > 0 && view.workers == published_) {
    return;
  }
  sequence_ = view.sequence;
  published_ = view.workers;
  publish_(view);
}

void PlatformWatcher::journalOnce(const std::string& event) {
  if (event == last_journalled_) {
    return;
  }
  last_journalled_ = event;
  journal_.append(journal::Subject::Workers, "platform", event, workerInstance(term_, sequence_));
}

}  // namespace switchsaddle::workers
