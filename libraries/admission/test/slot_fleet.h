#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/admission/ledger_shard.h"
#include "switchsaddle/admission/ledger_slot_broker.h"
#include "switchsaddle/admission/slot_ledger.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::admission::testing {

/** One linearizable register for all cores with delayed replies; may be made unavailable. */
class SharedRegister {
 public:
  explicit SharedRegister(simulation::World& world) : world_(world) {}
  bool available = true;
  /** Longest delay of each direction of an operation, so that changes may overtake each other. */
  base::Duration longest_delay = std::chrono::milliseconds(2);

  /** Added to the delay of changes that begin from now on. */
  base::Duration extra_delay{};

  base::Duration delay() {
    const auto longest = static_cast<std::uint64_t>(longest_delay.count());
    return extra_delay +
           base::Duration(static_cast<std::int64_t>(world_.random().below(longest + 1)));
  }
  /** Operations begun since the start of the test. */
  std::uint64_t operations = 0;

  class Proposer : public registers::RegisterProposer {
   public:
    Proposer(SharedRegister& shared, simulation::Process& process)
        : shared_(shared), process_(process) {}
    void change(const std::string& key, registers::ChangeFunction function,
                registers::RegisterCallback callback) override {
      ++shared_.operations;
      process_.postAfter(shared_.delay(), [this, key, function, callback] {
        registers::RegisterOutcome outcome;
        if (shared_.available) {
          outcome.code = base::ResultCode::Ok;
          const std::optional<std::string> next = function(shared_.values_[key]);
          outcome.changed = next.has_value();
          if (next) {
            shared_.values_[key] = *next;
          }
          outcome.value = shared_.values_[key];
        }
        process_.postAfter(shared_.delay(), [outcome, callback] { callback(outcome); });
      });
    }
    void read(const std::string& key, registers::RegisterCallback callback) override {
      change(
          key, [](const std::string&) { return std::nullopt; }, std::move(callback));
    }

   private:
    SharedRegister& shared_;
    simulation::Process& process_;
  };

 private:
  simulation::World& world_;
  std::map<std::string, std::string> values_;
};

/** A core process with one ledger, whose lease the test grants and revokes. */
struct LedgerNode : LedgerLease {
  LedgerNode(simulation::World& world, simulation::Network& network, SharedRegister& shared,
             base::NodeAddress node_address, SlotLedgerOptions ledger_options = {})
      : address(std::move(node_address)),
        process(world),
        proposer(shared, process),
        options(ledger_options),
        network_(network) {
    start();
  }

  void start() {
    transport = network_.attach(address, process);
    calls = std::make_unique<transport::PeerCalls>(process, *transport);
    ledger = std::make_unique<SlotLedger>(process, *calls, proposer, *this, 0, options);
    calls->handle<wire::SlotRequest>(
        [this](const base::NodeAddress&, const wire::SlotRequest& request,
               const transport::ReplyFunction& reply) { ledger->onRequest(request, reply); });
  }

  bool held() const override { return has_lease; }
  std::uint64_t term() const override { return lease_term; }

  base::NodeAddress address;
  simulation::Process process;
  SharedRegister::Proposer proposer;
  SlotLedgerOptions options;
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<SlotLedger> ledger;
  bool has_lease = false;
  std::uint64_t lease_term = 0;

 private:
  simulation::Network& network_;
};

/** Moves the lease from its holder to another core, with the next term. */
inline void moveLease(const std::vector<std::unique_ptr<LedgerNode>>& cores, std::size_t index,
                      std::uint64_t term) {
  for (const auto& core : cores) {
    if (core->has_lease) {
      core->has_lease = false;
      core->ledger->onLeaseLost();
    }
  }
  cores[index]->has_lease = true;
  cores[index]->lease_term = term;
  cores[index]->ledger->onLeaseGained();
}

/** Records the slots of one branch in use, as its workers and callers observe them. */
class BranchObserver {
 public:
  BranchObserver(simulation::World& world, std::uint32_t limit) : world_(world), limit_(limit) {}

  void onUse(int change) {
    recordFull();
    used += change;
    over_limit = over_limit || used > static_cast<int>(limit_);
    recordFull();
  }
  /** A caller that arrived at `arrival` is rejected as over its branch limit now. */
  void onRejection(base::TimePoint arrival) {
    recordFull();
    ++rejections;
    longest_rejection = std::max(longest_rejection, world_.now() - arrival);
    if (!full_at || *full_at < arrival) {
      ++rejections_within_limit;
    }
  }

  int used = 0;
  bool over_limit = false;
  int rejections = 0;
  /** Rejections although a slot was free at every instant since the caller's arrival. */
  int rejections_within_limit = 0;
  base::Duration longest_rejection{};

 private:
  void recordFull() {
    if (used >= static_cast<int>(limit_)) {
      full_at = world_.now();
    }
  }

  simulation::World& world_;
  std::uint32_t limit_;
  /** The latest instant at which every slot was in use. */
  std::optional<base::TimePoint> full_at;
};

/** A front process with a broker and its requests in flight. */
class FrontNode {
 public:
  FrontNode(simulation::World& world, simulation::Network& network, base::NodeAddress address,
            std::vector<base::NodeAddress> cores, SlotBrokerOptions options = {},
            BranchObserver* observer = nullptr)
      : process(world),
        network_(network),
        address_(std::move(address)),
        cores_(std::move(cores)),
        options_(options),
        observer_(observer) {
    start();
  }

  void start() {
    transport_ = network_.attach(address_, process);
    calls_ = std::make_unique<transport::PeerCalls>(process, *transport_);
    broker = std::make_unique<LedgerSlotBroker>(
        process, *calls_, ++instance_, [this] { return cores_; }, options_);
  }

  void kill() {
    process.kill();
    broker.reset();
    recordUse(-static_cast<int>(permits.size()));
    permits.clear();
    calls_.reset();
    transport_.reset();
  }

  bool running() const { return broker != nullptr; }

  /** Acquires a slot and uses it for `duration`. */
  void request(const std::string& branch, base::Duration duration) {
    ++requests;
    broker->acquire(branch, [this, duration, arrival = process.now()](SlotOutcome outcome) {
      ++outcomes[outcome.code];
      if (outcome.permit == nullptr) {
        if (outcome.code == base::ResultCode::OverBranchLimit && observer_ != nullptr) {
          observer_->onRejection(arrival);
        }
        return;
      }
      auto permit = std::make_shared<SlotPermitPtr>(std::move(outcome.permit));
      permits.push_back(permit);
      recordUse(1);
      process.postAfter(duration, [this, permit] {
        std::erase(permits, permit);
        recordUse(-1);
        // The release of the slot may serve a queued request, which adds to `permits`.
        permit->reset();
      });
    });
  }

  simulation::Process process;
  std::unique_ptr<LedgerSlotBroker> broker;
  std::vector<std::shared_ptr<SlotPermitPtr>> permits;
  std::map<base::ResultCode, int> outcomes;
  int requests = 0;

 private:
  void recordUse(int change) {
    if (observer_ != nullptr) {
      observer_->onUse(change);
    }
  }

  simulation::Network& network_;
  base::NodeAddress address_;
  std::vector<base::NodeAddress> cores_;
  SlotBrokerOptions options_;
  BranchObserver* observer_;
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<transport::PeerCalls> calls_;
  std::uint64_t instance_ = 100;
};

/** The name of a branch that shard 0 manages. */
inline std::string branchOfShardZero() {
  int number = 0;
  while (ledgerShardOf("branch-" + std::to_string(number)) != 0) {
    ++number;
  }
  return "branch-" + std::to_string(number);
}

}  // namespace switchsaddle::admission::testing
