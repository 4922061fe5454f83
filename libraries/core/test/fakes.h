#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_directory.h"

namespace switchsaddle::core {

/** A fake proposer with one register in memory; replies immediately. */
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
    if (before_last_run) {
      before_last_run();
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
  /** How often the change function runs, as if ballots had been rejected. */
  int runs = 1;
  /** Runs before the change function does so for the last time, if set. */
  std::function<void()> before_last_run;
};

/** A session directory with the sessions that the test sets. */
class FakeDirectory : public sessions::SessionDirectory {
 public:
  void readLive(sessions::LiveSessionsCallback callback) override {
    ++reads;
    if (defers_replies) {
      pending.push_back(std::move(callback));
      return;
    }
    callback(code, live);
  }
  void readLagging(std::uint64_t /*version*/, sessions::LiveSessionsCallback callback) override {
    readLive(std::move(callback));
  }
  std::vector<wire::SessionTableEntry> localSessions() const override { return live; }
  std::vector<wire::SessionTableEntry> localLagging(std::uint64_t version) const override {
    if (local_table_empty) {
      return {};
    }
    std::vector<wire::SessionTableEntry> lagging = live;
    std::erase_if(lagging, [version](const wire::SessionTableEntry& entry) {
      return entry.record.closed || entry.record.applied_version >= version;
    });
    return lagging;
  }

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
  /** Whether the local table is empty, as at a node that is not a member of the acceptor set. */
  bool local_table_empty = false;
  /** Whether to store the callbacks in `pending` for the test to run. */
  bool defers_replies = false;
  std::vector<sessions::LiveSessionsCallback> pending;
};

/** A fake node whose state the test sets. */
class FakeNode : public NodeInformation {
 public:
  FakeNode(base::Dispatcher& dispatcher, journal::Journal& journal)
      : ledger(dispatcher), ranking(dispatcher, ledger), state_view_(journal) {}
  NodeStatus status() const override {
    NodeStatus status;
    status.address = {"127.0.0.1", 7000};
    status.leases.push_back({"platform-watcher", true, 4});
    return status;
  }
  const journal::StateView& stateView() const override { return state_view_; }
  const worker_health::HealthRanking& health() const override { return ranking; }
  workers::WorkerSnapshotPtr fleet() const override { return snapshot; }
  std::uint32_t requestsOn(const std::string& /*worker*/) const override { return 2; }

  worker_health::EvidenceLedger ledger;
  worker_health::HealthRanking ranking;
  std::shared_ptr<workers::WorkerSnapshot> snapshot = std::make_shared<workers::WorkerSnapshot>();

 private:
  journal::StateView state_view_;
};

}  // namespace switchsaddle::core
