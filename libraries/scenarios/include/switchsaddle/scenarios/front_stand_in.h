#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/sessions/quorum_session_client.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::scenarios {

/** Test-only deviations that show that a rule is needed. */
struct FrontFaults {
  /** Dispatches whatever its session says. */
  bool ignore_session = false;
};

/**
 * The part of a front that obeys the control plane: session, dissemination and replica. In place of
 * serving callers it tells by which configuration version it would dispatch right now.
 */
class FrontStandIn {
 public:
  FrontStandIn(simulation::World& world, simulation::Network& network, base::NodeAddress address,
               std::string zone, std::vector<base::NodeAddress> seeds, FrontFaults faults = {});

  /** Starts the process without any knowledge. */
  void start();
  void kill();
  bool running() const { return life_ != nullptr; }
  simulation::Process& process() { return process_; }
  const base::NodeAddress& address() const { return address_; }
  /** The version work would be dispatched by at this moment; nothing where none would be. */
  std::optional<std::uint64_t> dispatchVersion() const;
  /** It saw this itself; only while it runs. */
  void observe(const wire::WorkerObservation& observation);
  /** What it believes of the workers; nullptr while it does not run. */
  workers::WorkerSnapshotPtr workers() const;

 private:
  /** All that dies with the process. */
  struct Life {
    std::unique_ptr<transport::Transport> transport;
    std::unique_ptr<transport::PeerCalls> calls;
    std::unique_ptr<base::RandomSource> random;
    std::unique_ptr<journal::Journal> journal;
    std::unique_ptr<dissemination::ConfigurationReplica> replica;
    std::unique_ptr<workers::WorkerDirectory> workers;
    std::unique_ptr<dissemination::GossipAgent> gossip;
    std::unique_ptr<sessions::QuorumSessionClient> session;
    base::TimerPtr peers_timer;
  };

  void connect();
  void refreshPeers();

  simulation::World& world_;
  simulation::Network& network_;
  base::NodeAddress address_;
  std::string zone_;
  std::vector<base::NodeAddress> seeds_;
  FrontFaults faults_;
  simulation::Process process_;
  std::unique_ptr<Life> life_;
};

}  // namespace switchsaddle::scenarios
