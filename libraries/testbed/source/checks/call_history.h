#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"
#include "switchsaddle/testbed/records/call_event.h"
#include "switchsaddle/testbed/records/worker_event.h"

namespace switchsaddle::testbed {

/** One piece as a caller saw it. */
struct ReceivedChunk {
  std::int64_t index = -1;
  std::string run;
  std::int64_t at_ms = 0;
};

/** All that was recorded on one call. */
struct CallHistory {
  CallEvent sent;
  std::vector<ReceivedChunk> chunks;
  CallEvent answer;
  bool answered = false;

  /** Whether the call's answer leaves open or says that it ran. */
  bool mayHaveRun() const;
  /** Whether the answer promises that the call did not run. */
  bool answeredNotRun() const;
};

/** One run of a worker. */
struct RunHistory {
  WorkerEvent start;
  std::string worker;
  std::string zone;
  std::int64_t end_ms = 0;
  std::uint64_t chunks = 0;
  /** Whether the worker itself finished it. */
  bool finished = false;
};

/** Calls by number. */
std::map<std::uint64_t, CallHistory> foldCalls(const std::vector<CallEvent>& events);

/**
 * Adds a worker's runs, by run id. A run without an end ended at the latest with the last line that
 * its process wrote.
 */
void foldRuns(const WorkerJournal& journal, std::map<std::string, RunHistory>& runs);

}  // namespace switchsaddle::testbed
