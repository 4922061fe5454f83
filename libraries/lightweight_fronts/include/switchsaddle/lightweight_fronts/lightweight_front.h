#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/front/front_node.h"

namespace switchsaddle::lightweight_fronts {

/** What a lightweight front does beyond its control work. */
struct LightweightFrontOptions {
  /** Takes a slot of a random tenant for each made-up prompt from the real limit ledgers. */
  bool acquire_slots = false;
};

/**
 * A front without callers: the real front node (session, configuration replica, gossip, worker
 * directory, router) on a transport of its own, with no HTTP side and no workers that answer. Many
 * of them share a process and a strand, for runs at the size of a whole fleet.
 */
class LightweightFront {
 public:
  /** Tells of each new version in force: the one before and the new one. */
  using AppliedListener = std::function<void(std::uint64_t before, std::uint64_t after)>;

  /** The dispatcher and the transport outlive the front. */
  LightweightFront(base::Dispatcher& dispatcher, transport::Transport& transport,
                   std::uint64_t seed, configuration::Settings settings, AppliedListener applied,
                   LightweightFrontOptions options = {});
  ~LightweightFront();
  LightweightFront(const LightweightFront&) = delete;
  LightweightFront& operator=(const LightweightFront&) = delete;

  void start() { node_.start(); }
  void stop(std::function<void()> stopped) { node_.stop(std::move(stopped)); }
  /** Whether it would dispatch work at this moment. */
  bool serving() const { return node_.session().mayDispatch(); }
  const front::FrontNode& node() const { return node_; }
  /**
   * Places `count` made-up prompts over the configured models and completes those of the last call,
   * so that the router learns, and disseminates, as it does under load.
   */
  void placePrompts(std::size_t count);

  /** Slots asked for and got; zero where the options do not ask for any. */
  std::uint64_t slotsGot() const { return slots_got_; }
  std::uint64_t slotsRefused() const { return slots_refused_; }

 private:
  std::unique_ptr<admission::SlotBroker> makeSlots(base::Dispatcher& dispatcher);
  void acquireSlot();
  void noteVersion(const journal::Event& event);
  void completeOpen();

  configuration::Settings settings_;
  transport::PeerCalls calls_;
  base::RandomSource random_;
  journal::Journal journal_;
  std::unique_ptr<front::WorkerPort> workers_;
  std::uint64_t instance_;
  AppliedListener applied_;
  std::uint64_t version_ = 0;
  LightweightFrontOptions options_;
  std::vector<std::uint64_t> open_tickets_;
  std::uint64_t slots_got_ = 0;
  std::uint64_t slots_refused_ = 0;
  front::FrontNode node_;
  /** Takes the recalls in place of the node's own broker, which no caller uses here. */
  std::unique_ptr<admission::SlotBroker> slots_;
  std::vector<admission::SlotPermitPtr> held_;
};

}  // namespace switchsaddle::lightweight_fronts
