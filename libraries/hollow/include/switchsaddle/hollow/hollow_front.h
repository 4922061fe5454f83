#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/front/front_node.h"

namespace switchsaddle::hollow {

/**
 * A front without callers: the real front node (session, configuration replica, gossip, worker
 * directory, router) on a transport of its own, with no HTTP side, no slots and no workers that
 * answer. Many of them share a process and a strand, for runs at the size of a whole fleet.
 */
class HollowFront {
 public:
  /** Tells of each new version in force: the one before and the new one. */
  using AppliedListener = std::function<void(std::uint64_t before, std::uint64_t after)>;

  /** The dispatcher and the transport outlive the front. */
  HollowFront(base::Dispatcher& dispatcher, transport::Transport& transport, std::uint64_t seed,
              configuration::Settings settings, AppliedListener applied);
  ~HollowFront();
  HollowFront(const HollowFront&) = delete;
  HollowFront& operator=(const HollowFront&) = delete;

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

 private:
  void noteVersion(const journal::Event& event);
  void completeOpen();

  configuration::Settings settings_;
  transport::PeerCalls calls_;
  base::RandomSource random_;
  journal::Journal journal_;
  std::unique_ptr<front::WorkerPort> workers_;
  std::unique_ptr<admission::SlotBroker> slots_;
  AppliedListener applied_;
  std::uint64_t version_ = 0;
  std::vector<std::uint64_t> open_tickets_;
  front::FrontNode node_;
};

}  // namespace switchsaddle::hollow
