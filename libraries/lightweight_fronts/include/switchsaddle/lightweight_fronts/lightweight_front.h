#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/front/node/front_node.h"

namespace switchsaddle::lightweight_fronts {

/** Work of a lightweight front beyond its control work. */
struct LightweightFrontOptions {
  /** Acquires a slot of a random tenant from the limit ledgers for each generated prompt. */
  bool acquire_slots = false;
};

/**
 * A front without callers: the real front node (session, configuration replica, gossip, worker
 * directory, router) on a transport of its own, without an HTTP server and without reachable
 * workers. Many of them share a process and a strand, for runs at the size of a complete fleet.
 */
class LightweightFront {
 public:
  /** Called for each applied version of the configuration with the previous and the new one. */
  using AppliedListener = std::function<void(std::uint64_t before, std::uint64_t after)>;

  /** @param dispatcher must outlive the front, as must the transport. */
  LightweightFront(base::Dispatcher& dispatcher, transport::Transport& transport,
                   std::uint64_t seed, configuration::Settings settings, AppliedListener applied,
                   LightweightFrontOptions options = {});
  ~LightweightFront();
  LightweightFront(const LightweightFront&) = delete;
  LightweightFront& operator=(const LightweightFront&) = delete;

  void start() { node_.start(); }
  void stop(std::function<void()> stopped) { node_.stop(std::move(stopped)); }
  /** Whether the front may dispatch requests now. */
  bool serving() const { return node_.session().mayDispatch(); }
  const front::FrontNode& node() const { return node_; }
  /**
   * Places `count` generated prompts over the configured models and completes those of the last
   * call, so that the router learns and disseminates scores as it does under load.
   */
  void placePrompts(std::size_t count);

  /** @return granted and rejected slot requests; zero unless the options acquire slots. */
  std::uint64_t slotsGranted() const { return slots_granted_; }
  std::uint64_t slotsRejected() const { return slots_rejected_; }

 private:
  std::unique_ptr<admission::SlotBroker> makeSlots(base::Dispatcher& dispatcher);
  void acquireSlot();
  void recordVersion(const journal::Event& event);
  void completePending();
  routing::Prompt drawPrompt(const configuration::Route& route);

  configuration::Settings settings_;
  transport::PeerCalls calls_;
  base::RandomSource random_;
  journal::Journal journal_;
  std::unique_ptr<front::WorkerPort> workers_;
  std::uint64_t instance_;
  AppliedListener applied_;
  std::uint64_t version_ = 0;
  LightweightFrontOptions options_;
  std::vector<std::uint64_t> pending_tickets_;
  std::uint64_t slots_granted_ = 0;
  std::uint64_t slots_rejected_ = 0;
  front::FrontNode node_;
  /** Receives the recalls instead of the node's own broker, which no caller uses here. */
  std::unique_ptr<admission::SlotBroker> slots_;
  std::vector<admission::SlotPermitPtr> permits_;
};

}  // namespace switchsaddle::lightweight_fronts
