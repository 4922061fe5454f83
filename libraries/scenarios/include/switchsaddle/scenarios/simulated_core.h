#pragma once

#include <memory>
#include <vector>

#include "switchsaddle/core/node/core_node.h"
#include "switchsaddle/metrics/strand_watch.h"
#include "switchsaddle/simulation/network.h"
#include "switchsaddle/simulation/simulated_disk.h"
#include "switchsaddle/simulation/simulated_storage_executor.h"
#include "switchsaddle/storage/file_record_store.h"

namespace switchsaddle::scenarios {

/** The platform's worker list for the whole simulated fleet. Answers immediately. */
class SimulatedPlatform : public workers::PlatformSource {
 public:
  void read(std::function<void(workers::PlatformReading)> callback) override;

  workers::PlatformReading reading;
};

/** How a simulated process ends. */
enum class CrashKind : std::uint8_t {
  /** The process is killed; the machine runs on, so no written data is lost. */
  Kill,
  /** The machine loses power; data that was not synced may be lost. */
  PowerLoss,
  /** The process is killed and its disk is wiped. */
  Wipe,
};

/** A simulated machine with a disk, on which a core node can be started and killed repeatedly. */
class SimulatedCore {
 public:
  SimulatedCore(simulation::World& world, simulation::Network& network,
                workers::PlatformSource& platform, configuration::Settings settings,
                core::CoreFaults faults = {});

  /** Starts the process with the present content of the disk. */
  void start();
  void kill(CrashKind crash);
  /** From its next start on, the process has the settings of a fleet that was started before. */
  void forgetInitialCores() { settings_.initial_cores.clear(); }
  bool running() const { return incarnation_ != nullptr; }
  /** Delays the next disk task of the running process by this duration. */
  void stallDisk(base::Duration duration) {
    if (incarnation_) {
      incarnation_->executor->stallNext(duration);
    }
  }
  simulation::Process& process() { return process_; }
  simulation::SimulatedDisk& disk() { return disk_; }
  const base::NodeAddress& address() const { return settings_.peer_address; }
  /** The node of the current incarnation; only while running. */
  core::CoreNode& node() { return *incarnation_->node; }

 private:
  /** All state that is lost with the process. */
  struct Incarnation {
    std::unique_ptr<transport::Transport> transport;
    std::unique_ptr<transport::PeerCalls> calls;
    std::unique_ptr<base::RandomSource> random;
    std::unique_ptr<journal::Journal> journal;
    std::unique_ptr<metrics::StrandWatch> strand_watch;
    std::unique_ptr<simulation::SimulatedStorageExecutor> executor;
    std::unique_ptr<storage::FileRecordStore> store;
    std::unique_ptr<core::CoreNode> node;
  };

  simulation::World& world_;
  simulation::Network& network_;
  workers::PlatformSource& platform_;
  configuration::Settings settings_;
  core::CoreFaults faults_;
  simulation::Process process_;
  simulation::SimulatedDisk disk_;
  std::unique_ptr<Incarnation> incarnation_;
};

}  // namespace switchsaddle::scenarios
