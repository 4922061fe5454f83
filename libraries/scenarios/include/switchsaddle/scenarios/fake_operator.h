#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/simulation/network.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::scenarios {

/** The key that simulated operators use. */
inline constexpr const char* SimulatedOperatorKey = "simulated-operator";

/** The last thing an operator was told of one of its changes. */
enum class ChangeOutcome : std::uint8_t { Pending, Acknowledged, Conflict, Invalid };

/** One change as its operator knows it. Each sets or removes one entry. */
struct OperatorChange {
  std::string change_id;
  std::uint64_t base_version = 0;
  /** The entry: an evacuation, or a caller's key. */
  std::string path;
  bool removes = false;
  ChangeOutcome outcome = ChangeOutcome::Pending;
  /** The version it made, from Committed or Acknowledged answers, or that in force which a refused
   * one was told. */
  std::uint64_t version = 0;
  /** The newest version any operator had been told to be in force when it was first sent. */
  std::uint64_t in_force_before = 0;
  /** Told once that it is committed. */
  bool committed = false;
  /** Answers that contradict an earlier answer. */
  std::vector<std::string> contradictions;
};

/** What simulated operators change. */
enum class ChangedEntries : std::uint8_t { Evacuations, EvacuationsAndKeys };

/** The secret of the key that a change with this path sets. */
std::string secretOfKey(const std::string& path);

/**
 * An operator who makes one change after the other over the control API: sends each to a random
 * node, and sends it again, to another, until it gets a final answer. Takes its base version from
 * the newest version it has been told of, so that operators race. Now and then it sends one of its
 * earlier changes again, however old, and expects the first answer again.
 */
class FakeOperator {
 public:
  using ChangeListener = std::function<void(const OperatorChange&)>;
  using SentListener = std::function<void(const base::NodeAddress&)>;

  FakeOperator(simulation::World& world, simulation::Network& network, base::NodeAddress address,
               std::string name, std::vector<base::NodeAddress> nodes);

  void setChangedEntries(ChangedEntries entries) { changed_entries_ = entries; }
  /** Further nodes, fronts among them, to which changes are sent. */
  void addNodes(const std::vector<base::NodeAddress>& nodes);
  void setAcknowledgedListener(ChangeListener listener) { on_acknowledged_ = std::move(listener); }
  /** Hears of a new change right before it is first sent, and may complete it. */
  void setBegunListener(std::function<void(OperatorChange&)> listener) {
    on_begun_ = std::move(listener);
  }
  /** Hears to which node a change goes, each time. */
  void setSentListener(SentListener listener) { on_sent_ = std::move(listener); }
  void start();
  /** Makes no further change; the present one is sent on until its final answer. */
  void finish() { finishing_ = true; }
  /** Whether every change has its final answer. */
  bool idle() const { return !present_.has_value(); }
  const std::vector<OperatorChange>& changes() const { return changes_; }
  std::uint64_t resends() const { return resends_; }
  /** Earlier changes that were sent again after their final answer. */
  std::uint64_t repetitions() const { return repetitions_; }
  /** The newest version this operator was told of. */
  std::uint64_t newestVersion() const { return newest_version_; }
  /** Sends one request to a core; the callback gets its answer, or nothing where none came. */
  void request(const base::NodeAddress& core, const std::string& method, const std::string& target,
               const std::string& request_body,
               std::function<void(std::optional<wire::ControlReply>)> callback);
  /** Reads the configuration from a core; the body, or nothing where it was not answered 200. */
  void readConfiguration(const base::NodeAddress& core,
                         std::function<void(std::optional<std::string>)> callback);

 private:
  void beginChange();
  void send();
  void onReply(std::uint64_t attempt, const transport::CallResult& result);
  void take(const wire::ControlReply& reply);
  void adoptCommitted(std::uint64_t version);
  void settle(ChangeOutcome outcome, std::uint64_t version);
  void end(ChangeOutcome outcome);
  std::string body() const;

  base::NodeAddress address_;
  std::string name_;
  std::vector<base::NodeAddress> nodes_;
  base::RandomSource random_;
  simulation::Process process_;
  std::unique_ptr<transport::Transport> transport_;
  transport::PeerCalls calls_;
  ChangeListener on_acknowledged_;
  std::function<void(OperatorChange&)> on_begun_;
  SentListener on_sent_;
  ChangedEntries changed_entries_ = ChangedEntries::Evacuations;
  base::TimerPtr timer_;
  bool finishing_ = false;
  std::uint64_t newest_version_ = 0;
  std::uint64_t attempt_ = 0;
  std::uint64_t resends_ = 0;
  std::uint64_t repetitions_ = 0;
  std::vector<OperatorChange> changes_;
  /** Index of the change under way. */
  std::optional<std::size_t> present_;
  /** Entries this operator has set, by its own acknowledged changes. */
  std::vector<std::string> entries_;
};

}  // namespace switchsaddle::scenarios
