#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"
#include "switchsaddle/testbed/records/call_event.h"
#include "switchsaddle/testbed/records/worker_event.h"

namespace switchsaddle::testbed {

/** One chunk as the caller received it. */
struct ReceivedChunk {
  std::int64_t index = -1;
  std::string run;
  std::int64_t at_ms = 0;
};

/** All recorded events of one call. */
struct CallHistory {
  CallEvent sent;
  std::vector<ReceivedChunk> chunks;
  CallEvent answer;
  bool answered = false;

  /** Whether the call ran or may have run, judging by its answer. */
  bool mayHaveRun() const;
  /** Whether the answer states that the call did not run. */
  bool answeredNotRun() const;
};

/** One run of a worker. */
struct RunHistory {
  WorkerEvent start;
  std::string worker;
  std::string zone;
  std::int64_t end_ms = 0;
  std::uint64_t chunks = 0;
  /** Whether the worker finished the run; false if it was cancelled or the process ended. */
  bool finished = false;
};

/** Groups the events by call number. */
std::map<std::uint64_t, CallHistory> foldCalls(const std::vector<CallEvent>& events);

/**
 * Adds a worker's runs by run id. The end of a run without an end event is the time of the last
 * line that its process wrote.
 */
void foldRuns(const WorkerJournal& journal, std::map<std::string, RunHistory>& runs);

}  // namespace switchsaddle::testbed
