#pragma once

namespace switchsaddle {

/**
 * What a daemon takes for granted of its surroundings: that its program and libraries could be
 * loaded, and that it gets memory, descriptors and threads within its limits. Not taken for
 * granted, and where it is seen to:
 *
 * - actions and mask of signals, descriptors 0 to 2: takeOverSurroundings();
 * - that the log is read: base::writeLogOnThread();
 * - settings file, addresses, data folder and its lock at the start: startAndRun();
 * - the disk while running: storage::RecordStore reports, core::StoreRecovery opens it again;
 * - that other nodes run or were started before: registers::Bootstrap, sessions.
 *
 * docs/OPERATIONS.md tells operators the same.
 */

/**
 * Takes over what the parent process left. From now on SIGTERM, SIGINT and SIGHUP wait until
 * takeSignals(), signals that are no order to a daemon are ignored, and descriptors 0 to 2 are
 * open. In a daemon it also runs before the constructors of all libraries. Only system calls:
 * nothing else can be used so early.
 */
void takeOverSurroundings();

/** Makes orders wait again, for good: the process is ending, and their handlers are removed. */
void holdSignals();

/** Lets signals through, whatever mask the parent left. Called once their handlers are installed.
 */
void takeSignals();

}  // namespace switchsaddle
