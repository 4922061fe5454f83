#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/front/node/front_node.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::scenarios {

/** One request as a worker received it. */
struct Dispatch {
  base::NodeAddress front;
  /** The configuration version in force at the front when it sent the request. */
  std::uint64_t version = 0;
  /** The caller's key, which simulated callers put into their prompts. */
  std::string key;
};

/** A caller's answer: the key it used and the HTTP status it received. */
struct CallerAnswer {
  std::string key;
  std::uint16_t status = 0;
};

/**
 * A complete front in the simulation: the daemon's FrontNode on a simulated network, with workers
 * that answer each stream immediately and slots that may be granted with a delay. Operators reach
 * its control API by ControlRequest messages instead of HTTP.
 */
class WatchedFront {
 public:
  using DispatchListener = std::function<void(const Dispatch&)>;
  using AnswerListener = std::function<void(const CallerAnswer&)>;

  WatchedFront(simulation::World& world, simulation::Network& network,
               configuration::Settings settings, sessions::SessionClientFaults faults = {});
  ~WatchedFront();

  /** The listeners stay set when the process is killed and restarted. */
  void setDispatchListener(DispatchListener listener) { on_dispatch_ = std::move(listener); }
  void setAnswerListener(AnswerListener listener) { on_answer_ = std::move(listener); }
  /** Starts a new process, which has no state of earlier ones. */
  void start();
  void kill();
  bool running() const { return incarnation_ != nullptr; }
  simulation::Process& process() { return process_; }
  const base::NodeAddress& address() const { return settings_.peer_address; }
  /** The node of the current incarnation; only while running. */
  front::FrontNode& node();
  /** The journal of the current incarnation; only while running. */
  const journal::Journal& journal() const;
  /** Opens a stream with this key as a caller; does nothing if the process does not run. */
  void openStream(const std::string& key);
  /** The version with which the front would dispatch now, or std::nullopt if it would not. */
  std::optional<std::uint64_t> dispatchVersion() const;
  /** The front's view of the workers; nullptr while it does not run. */
  workers::WorkerSnapshotPtr workers() const;
  /** Reports to the front that a worker in its view is draining; only while running. */
  void onDraining(const std::string& worker);

 private:
  struct Incarnation;

  void handleControlRequests();

  simulation::World& world_;
  simulation::Network& network_;
  configuration::Settings settings_;
  sessions::SessionClientFaults faults_;
  DispatchListener on_dispatch_;
  AnswerListener on_answer_;
  simulation::Process process_;
  std::unique_ptr<Incarnation> incarnation_;
};

}  // namespace switchsaddle::scenarios
