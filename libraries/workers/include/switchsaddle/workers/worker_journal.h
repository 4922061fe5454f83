#pragma once

#include "switchsaddle/journal/journal.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

/**
 * Journals every change of what the directory believes: each worker's instance, zone and state, the
 * view's sequence, and the term of the watcher that made it. All nodes write the same text for the
 * same belief, so that beliefs can be compared. The directory outlives nothing: the journal must
 * outlive it.
 */
void journalChanges(WorkerDirectory& directory, journal::Journal& journal);

}  // namespace switchsaddle::workers
