#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/sessions/quorum_session_client.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::sessions {

/** The deviations of all nodes of a fleet; none is set in runs that must keep the invariant. */
struct FleetFaults {
  SessionTableFaults table = {};
  SessionClientFaults client = {};
};

/** One simulated process, a core or a front, with the state that outlives it. */
struct SessionNode {
  explicit SessionNode(simulation::World& world) : process(world) {}

  base::NodeAddress address;
  simulation::Process process;
  /** The version that a core has accepted. Durable: it survives a restart. */
  std::uint64_t accepted = 0;
  /** The version that a front has in force. */
  std::uint64_t applied = 0;
  std::uint64_t instance = 0;
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<journal::Journal> journal;
  std::unique_ptr<CoreView> view;
  std::unique_ptr<SessionTable> table;
  std::unique_ptr<QuorumSessionClient> client;
};

/**
 * Five cores and three fronts. After every event it checks the invariant: if a completed majority
 * read lacks a front's instance, that instance dispatches only with a version in force that is at
 * least as new as every version accepted at a majority before the read began.
 */
class SessionFleet {
 public:
  static constexpr std::size_t CoreCount = 5;
  static constexpr std::size_t FrontCount = 3;

  explicit SessionFleet(std::uint64_t seed, FleetFaults faults = {});

  SessionNode& core(std::size_t index) { return *nodes[index]; }
  SessionNode& front(std::size_t index) { return *nodes[CoreCount + index]; }
  void start(SessionNode& node);
  void kill(SessionNode& node);
  /** Partitions the node from all cores. */
  void isolate(SessionNode& node);
  /**
   * Runs until the condition holds, and checks the invariant after every event.
   *
   * @return false after a violation or when the limit has passed.
   */
  bool runUntil(const std::function<bool()>& condition, base::Duration limit);
  void run(base::Duration duration) {
    runUntil([] { return false; }, duration);
  }
  /** A random majority of the running cores accepts a new version, each after its own delay. */
  void commit();
  /** Reads the live sessions at a core and records the versions that the invariant then requires.
   */
  void read(SessionNode& reader);
  /** Injects one random kill, restart, freeze or partition. */
  void injectFault();
  void repair();
  bool allServing();

  simulation::World world;
  simulation::Network network{world};
  std::vector<std::unique_ptr<SessionNode>> nodes;
  /** Whether fronts apply the versions that grants announce. */
  bool apply_versions = true;
  std::string violation;
  std::uint64_t reads_completed = 0;
  /** Number of fronts that were running but absent from a completed read. */
  std::uint64_t absences = 0;
  std::uint64_t checks_dispatching = 0;
  std::uint64_t checks_without_core = 0;
  base::RandomSource random;

 private:
  void check();
  void killOrStart(SessionNode& node);
  /** Freezes the node for a random time, or wakes it. */
  void freezeOrWake(SessionNode& node);
  /** Freezes the node briefly and partitions it from the cores before it resumes. */
  void freezeAndIsolate(SessionNode& node);
  void killAndRestartCores();
  void startCore(SessionNode& node);
  void startFront(SessionNode& node);
  void onRead(std::uint64_t committed, const std::vector<wire::SessionTableEntry>& live);
  std::vector<base::NodeAddress> cores() const;
  std::uint64_t acceptedAtMajority() const;

  FleetFaults faults_;
  std::uint64_t next_version_ = 1;
  std::uint64_t next_instance_ = 1;
  /** The lowest version by which an instance may dispatch. */
  std::map<std::uint64_t, std::uint64_t> required_;
};

}  // namespace switchsaddle::sessions
