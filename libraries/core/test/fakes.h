#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_directory.h"

namespace switchsaddle::core {

/** One register in memory, shared by proposers; answers at once unless told to be silent. */
class FakeProposer : public registers::RegisterProposer {
 public:
  void change(const std::string& /*key*/, registers::ChangeFunction function,
              registers::RegisterCallback callback) override {
    if (!has_quorum) {
      callback({base::ResultCode::NoQuorum, {}, false});
      return;
    }
    for (int run = 1; run < runs; ++run) {
      function(value);
    }
    const std::optional<std::string> next = function(value);
    if (next) {
      value = *next;
    }
    callback({base::ResultCode::Ok, value, next.has_value()});
  }
  void read(const std::string& key, registers::RegisterCallback callback) override {
    change(
        key, [](const std::string&) { return std::nullopt; }, std::move(callback));
  }

  std::string value;
  bool has_quorum = true;
  /** How often the change function is run, as after refused ballots. */
  int runs = 1;
};

/** A directory whose sessions the test sets. */
class FakeDirectory : public sessions::SessionDirectory {
 public:
  void readLive(sessions::LiveSessionsCallback callback) override {
    ++reads;
    if (holds) {
      held.push_back(std::move(callback));
      return;
    }
    callback(code, live);
  }
  std::vector<wire::SessionTableEntry> localSessions() const override { return live; }

  void setSession(const base::NodeAddress& front, std::uint64_t applied) {
    for (wire::SessionTableEntry& entry : live) {
      if (entry.record.front == front) {
        entry.record.applied_version = applied;
        return;
      }
    }
    wire::SessionTableEntry entry;
    entry.record.front = front;
    entry.record.applied_version = applied;
    live.push_back(entry);
  }

  std::vector<wire::SessionTableEntry> live;
  base::ResultCode code = base::ResultCode::Ok;
  int reads = 0;
  /** Keeps the callbacks in `held` for the test to run. */
  bool holds = false;
  std::vector<sessions::LiveSessionsCallback> held;
};

}  // namespace switchsaddle::core
