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
  /** The caller's key, which callers of the simulation put into their prompts. */
  std::string key;
};

/** A caller's answer: the key it used and the HTTP status it was told. */
struct CallerAnswer {
  std::string key;
  std::uint16_t status = 0;
};

/**
 * A whole front in the simulation: the very FrontNode of the daemon, on a simulated network, with
 * workers that answer each stream at once and slots that may take a while to come. Operators reach
 * its control API by ControlRequest messages, in place of HTTP.
 */
class WatchedFront {
 public:
  using DispatchListener = std::function<void(const Dispatch&)>;
  using AnswerListener = std::function<void(const CallerAnswer&)>;

  WatchedFront(simulation::World& world, simulation::Network& network,
               configuration::Settings settings, sessions::SessionClientFaults faults = {});
  ~WatchedFront();

  /** Both outlive the lives of the process. */
  void setDispatchListener(DispatchListener listener) { on_dispatch_ = std::move(listener); }
  void setAnswerListener(AnswerListener listener) { on_answer_ = std::move(listener); }
  /** Starts the process without any knowledge. */
  void start();
  void kill();
  bool running() const { return incarnation_ != nullptr; }
  simulation::Process& process() { return process_; }
  const base::NodeAddress& address() const { return settings_.peer_address; }
  /** The node of the present life; only while running. */
  front::FrontNode& node();
  /** The journal of the present life; only while running. */
  const journal::Journal& journal() const;
  /** A caller opens a stream under this key; nothing where the process does not run. */
  void openStream(const std::string& key);
  /** The version work would be dispatched by at this moment; nothing where none would be. */
  std::optional<std::uint64_t> dispatchVersion() const;
  /** What it believes of the workers; nullptr while it does not run. */
  workers::WorkerSnapshotPtr workers() const;
  /** It hears from a worker it knows that this one is draining; only while running. */
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
