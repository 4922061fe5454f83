#include "switchsaddle/workers/backup_list_reader.h"

#include <utility>

namespace switchsaddle::workers {

BackupListReader::BackupListReader(base::Dispatcher& dispatcher, PlatformSource& source,
                                   const WorkerDirectory& directory,
                                   const PlatformWatcherOptions& options,
                                   HasPublisher has_publisher, Report report)
    : dispatcher_(dispatcher),
      source_(source),
      directory_(directory),
      options_(options),
      has_publisher_(std::move(has_publisher)),
      report_(std::move(report)),
      timer_(dispatcher.createTimer([this] { onInterval(); })) {}

void BackupListReader::start() {
  running_ = true;
  timer_->enable(options_.poll_interval);
}

void BackupListReader::stop() {
  running_ = false;
  timer_->disable();
}

void BackupListReader::onInterval() {
  timer_->enable(options_.poll_interval);
  const base::TimePoint now = dispatcher_.now();
  const bool is_reading = reading_since_ && now - *reading_since_ < options_.reading_timeout;
  if (is_reading || has_publisher_()) {
    return;
  }
  reading_since_ = now;
  source_.read(callbacks_.guard([this](const PlatformReading& reading) {
    reading_since_.reset();
    onReading(reading);
  }));
}

void BackupListReader::onReading(const PlatformReading& reading) {
  if (!running_ || reading.code != base::ResultCode::Ok) {
    return;
  }
  const WorkerSnapshotPtr known = directory_.snapshot();
  for (const wire::WorkerEntry& listed : reading.workers) {
    reportIfDraining(listed, *known);
  }
}

void BackupListReader::reportIfDraining(const wire::WorkerEntry& listed,
                                        const WorkerSnapshot& known) {
  const auto found = known.workers.find(listed.id);
  const bool is_new = listed.state == wire::WorkerState::Draining && found != known.workers.end() &&
                      !found->second.draining && found->second.entry.address == listed.address;
  if (!is_new) {
    return;
  }
  wire::WorkerObservation observation;
  observation.worker = listed.id;
  observation.instance = found->second.entry.instance;
  observation.draining = true;
  report_(observation);
}

}  // namespace switchsaddle::workers
