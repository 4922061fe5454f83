#include "switchsaddle/workers/worker_journal.h"

#include <string>

namespace switchsaddle::workers {

namespace {

using journal::Subject;

std::string stateOf(const Worker& worker) {
  if (worker.unreachable) {
    return "gone";
  }
  return worker.draining ? "draining" : "ready";
}

std::string describe(const Worker& worker) {
  return stateOf(worker) + " at " + worker.entry.address.toString() + " in zone " +
         worker.entry.zone;
}

void journalWorkers(const WorkerSnapshot& before, const WorkerSnapshot& after,
                    journal::Journal& journal) {
  for (const auto& [id, worker] : after.workers) {
    const auto previous = before.workers.find(id);
    const bool unchanged = previous != before.workers.end() &&
                           previous->second.entry.instance == worker.entry.instance &&
                           describe(previous->second) == describe(worker);
    if (!unchanged) {
      journal.append(Subject::Workers, id, describe(worker), worker.entry.instance);
    }
  }
  for (const auto& [id, worker] : before.workers) {
    if (!after.workers.contains(id)) {
      journal.append(Subject::Workers, id, "", worker.entry.instance);
    }
  }
}

}  // namespace

void journalChanges(WorkerDirectory& directory, journal::Journal& journal) {
  directory.addListener(
      [&journal](const WorkerSnapshotPtr& before, const WorkerSnapshotPtr& after) {
        journalWorkers(*before, *after, journal);
        if (before->term != after->term) {
          journal.append(Subject::Lease, "platform-watcher, term heard",
                         std::to_string(after->term), after->term);
        }
        if (before->sequence != after->sequence || before->term != after->term) {
          journal.append(Subject::Workers, "list", "term " + std::to_string(after->term),
                         after->sequence);
        }
      });
}

}  // namespace switchsaddle::workers
