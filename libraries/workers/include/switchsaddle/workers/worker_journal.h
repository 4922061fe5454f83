#pragma once

#include "switchsaddle/journal/journal.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::workers {

/**
 * Appends an event to the journal for each change of the directory: instance, zone and state of a
 * worker, the sequence of the view, and the term of its watcher. All nodes write the same text for
 * the same state, so that their journals can be compared.
 * @param journal must outlive the directory.
 */
void journalChanges(WorkerDirectory& directory, journal::Journal& journal);

}  // namespace switchsaddle::workers
