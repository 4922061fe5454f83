#pragma once

#include <gtest/gtest.h>

#include <memory>

#include "fakes.h"
#include "switchsaddle/core/configuration/register_change_coordinator.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::core {

/** A change coordinator on one simulated core node, with the register and the sessions faked. */
class ChangeFixture : public testing::Test {
 protected:
  explicit ChangeFixture(std::uint64_t seed) : world_(seed) {}

  simulation::World world_;
  simulation::Network network_{world_};
  simulation::Process process_{world_};
  std::unique_ptr<transport::Transport> transport_ = network_.attach({"127.0.0.1", 7000}, process_);
  transport::PeerCalls calls_{process_, *transport_};
  journal::Journal journal_{process_};
  dissemination::ConfigurationReplica replica_{journal_};
  FakeProposer proposer_;
  FakeDirectory directory_;
  simulation::CollectingIncidents incidents_;
  InForceTracker tracker_{process_, calls_, directory_, replica_};
  RegisterChangeCoordinator coordinator_{process_, proposer_,  replica_,
                                         tracker_, incidents_, std::chrono::seconds(2)};
};

}  // namespace switchsaddle::core
