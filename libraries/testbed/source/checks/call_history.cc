#include "checks/call_history.h"

#include <set>

namespace switchsaddle::testbed {
namespace {

constexpr int FirstRefusalStatus = 400;

}  // namespace

bool CallHistory::answeredNotRun() const {
  if (!answered) {
    return false;
  }
  if (!answer.outcome.empty()) {
    return answer.outcome == "not-run";
  }
  const bool client_fault = answer.status >= FirstRefusalStatus && answer.status < 500;
  return answer.end == call_end::Refused && client_fault;
}

bool CallHistory::mayHaveRun() const {
  return !answeredNotRun() && !(answered && answer.end == call_end::NotConnected);
}

std::map<std::uint64_t, CallHistory> foldCalls(const std::vector<CallEvent>& events) {
  std::map<std::uint64_t, CallHistory> calls;
  for (const CallEvent& event : events) {
    CallHistory& call = calls[event.call];
    if (event.event == "sent") {
      call.sent = event;
    } else if (event.event == "piece") {
      call.chunks.push_back(ReceivedChunk{event.index, event.run, event.at_ms});
    } else if (event.event == "answer") {
      call.answer = event;
      call.answered = true;
    }
  }
  return calls;
}

void foldRuns(const WorkerJournal& journal, std::map<std::string, RunHistory>& runs) {
  std::set<std::string> open;
  std::int64_t last_ms = 0;
  const auto close_open = [&] {
    for (const std::string& run : open) {
      runs[run].end_ms = last_ms;
    }
    open.clear();
  };
  for (const WorkerEvent& event : journal.events) {
    if (event.event == worker_event::Up) {
      close_open();
    } else if (event.event == worker_event::Start) {
      RunHistory& run = runs[event.run];
      run.start = event;
      run.worker = journal.worker;
      run.zone = journal.zone;
      open.insert(event.run);
    } else if (event.event != worker_event::Refused && event.event != worker_event::Queued) {
      RunHistory& run = runs[event.run];
      run.end_ms = event.at_ms;
      run.chunks = event.chunks;
      run.finished = event.event == worker_event::End;
      open.erase(event.run);
    }
    last_ms = event.at_ms;
  }
  close_open();
}

}  // namespace switchsaddle::testbed
