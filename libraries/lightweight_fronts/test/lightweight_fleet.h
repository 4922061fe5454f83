#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/lightweight_fronts/counting_transport.h"
#include "switchsaddle/lightweight_fronts/lightweight_front.h"
#include "switchsaddle/lightweight_fronts/version_tally.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::lightweight_fronts {

/** Simulated cores with lightweight fronts, whose messages are counted. */
class LightweightFleet {
 public:
  LightweightFleet(std::uint64_t seed, std::size_t count)
      : fleet(seed, {.cores = 5, .fronts = 0, .operators = 1}) {
    for (std::size_t index = 0; index < count; ++index) {
      addFront(index);
    }
  }

  bool allServe(std::uint64_t version) const {
    return std::all_of(fronts.begin(), fronts.end(), [version](const auto& front) {
      return front->serving() && front->node().replica().version() >= version;
    });
  }
  bool runUntilAllServe(std::uint64_t version, base::Duration limit) {
    return fleet.world.runUntil([&] { return allServe(version); }, limit);
  }

  scenarios::Fleet fleet;
  KindCounts sent{};
  KindCounts received{};
  VersionTally tally;
  std::vector<std::unique_ptr<simulation::Process>> processes;
  std::vector<std::unique_ptr<transport::Transport>> endpoints;
  std::vector<std::unique_ptr<CountingTransport>> transports;
  std::vector<std::unique_ptr<LightweightFront>> fronts;

 private:
  void addFront(std::size_t index) {
    configuration::Settings settings;
    settings.peer_address = {"127.0.1." + std::to_string(index + 1), 7'100};
    settings.zone = "zone";
    settings.seeds = {fleet.cores[0]->address(), fleet.cores[1]->address()};
    processes.push_back(std::make_unique<simulation::Process>(fleet.world));
    simulation::Process& process = *processes.back();
    endpoints.push_back(fleet.network.attach(settings.peer_address, process));
    transports.push_back(
        std::make_unique<CountingTransport>(*endpoints.back(), sent, received, true));
    fronts.push_back(std::make_unique<LightweightFront>(
        process, *transports.back(), fleet.world.random().next(), settings,
        [this, &process](std::uint64_t before, std::uint64_t after) {
          tally.applied(before, after, process.now());
        }));
    fronts.back()->start();
  }
};

}  // namespace switchsaddle::lightweight_fronts
