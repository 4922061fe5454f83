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

/** The last answer that an operator got to one of its changes. */
enum class ChangeOutcome : std::uint8_t { Pending, Acknowledged, Conflict, Invalid };

/** One change and its operator's record of the answers. Each sets or removes one entry. */
struct OperatorChange {
  std::string change_id;
  std::uint64_t base_version = 0;
  /** The entry: an evacuation, or a caller's key. */
  std::string path;
  bool removes = false;
  ChangeOutcome outcome = ChangeOutcome::Pending;
  /** The version that the change made, or, if it was refused, the version in force according to
   * the answer. */
  std::uint64_t version = 0;
  /** The newest version acknowledged to any operator when the change was first sent. */
  std::uint64_t in_force_before = 0;
  /** Whether any answer said that it is committed. */
  bool committed = false;
  /** Answers that contradict an earlier answer. */
  std::vector<std::string> contradictions;
};

/** The kinds of entries that simulated operators change. */
enum class ChangedEntries : std::uint8_t { Evacuations, EvacuationsAndKeys };

/** The secret of the key that a change with this path sets. */
std::string secretOfKey(const std::string& path);

/**
 * An operator that makes one change after the other over the control API. It sends each change to
 * random nodes until it gets a final answer. The base version is the newest version from an answer
 * to this operator, so that operators conflict with each other. At times it resends one of its
 * earlier changes, however old, and expects the same answer as before.
 */
class FakeOperator {
 public:
  using ChangeListener = std::function<void(const OperatorChange&)>;
  using SentListener = std::function<void(const base::NodeAddress&)>;

  FakeOperator(simulation::World& world, simulation::Network& network, base::NodeAddress address,
               std::string name, std::vector<base::NodeAddress> nodes);

  void setChangedEntries(ChangedEntries entries) { changed_entries_ = entries; }
  /** Further nodes, such as fronts, to which changes are sent. */
  void addNodes(const std::vector<base::NodeAddress>& nodes);
  void setAcknowledgedListener(ChangeListener listener) { on_acknowledged_ = std::move(listener); }
  /** Called right before a new change is first sent; the listener may modify the change. */
  void setBegunListener(std::function<void(OperatorChange&)> listener) {
    on_begun_ = std::move(listener);
  }
  /** Called with the node's address each time a change is sent. */
  void setSentListener(SentListener listener) { on_sent_ = std::move(listener); }
  void start();
  /** Makes no further change; the current one is resent until its final answer. */
  void finish() { finishing_ = true; }
  /** Whether every change has its final answer. */
  bool idle() const { return !current_.has_value(); }
  const std::vector<OperatorChange>& changes() const { return changes_; }
  std::uint64_t resends() const { return resends_; }
  /** Number of earlier changes that were resent after their final answer. */
  std::uint64_t repetitions() const { return repetitions_; }
  /** The newest version in any answer to this operator. */
  std::uint64_t newestVersion() const { return newest_version_; }
  /** Sends one request to a core; the callback gets the answer, or std::nullopt if none came. */
  void request(const base::NodeAddress& core, const std::string& method, const std::string& target,
               const std::string& request_body,
               std::function<void(std::optional<wire::ControlReply>)> callback);
  /** Reads the configuration from a core; the callback gets the body, or std::nullopt if the status
   * was not 200. */
  void readConfiguration(const base::NodeAddress& core,
                         std::function<void(std::optional<std::string>)> callback);

 private:
  void beginChange();
  void send();
  void onReply(std::uint64_t attempt, const transport::CallResult& result);
  void handleReply(const wire::ControlReply& reply);
  void adoptCommitted(std::uint64_t version);
  void recordFinalAnswer(ChangeOutcome outcome, std::uint64_t version);
  void finishChange(ChangeOutcome outcome);
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
  /** Index of the change that waits for its final answer. */
  std::optional<std::size_t> current_;
  /** Entries that are set by this operator's acknowledged changes. */
  std::vector<std::string> entries_;
};

}  // namespace switchsaddle::scenarios
