#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/sessions/quorum_session_client.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::sessions {

/** The deviations a fleet runs with; all off in ordinary runs. */
struct FleetFaults {
  SessionTableFaults table = {};
  SessionClientFaults client = {};
};

/** One simulated process, a core or a front, with what outlives it. */
struct SessionNode {
  explicit SessionNode(simulation::World& world) : process(world) {}

  base::NodeAddress address;
  simulation::Process process;
  /** A core's accepted version, which is durable. */
  std::uint64_t accepted = 0;
  /** A front's version in force. */
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
 * Five cores and three fronts. After every event it checks THE invariant: once a majority read has
 * completed without a front's instance, that instance dispatches only with a version in force at
 * least as new as any accepted at a majority before the read began.
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
  void cutOff(SessionNode& node);
  /** Runs with the check after every event; false at a violation or where the limit passed. */
  bool runUntil(const std::function<bool()>& condition, base::Duration limit);
  void run(base::Duration duration) {
    runUntil([] { return false; }, duration);
  }
  /** A new version reaches a random majority of the running cores, each in its own time. */
  void commit();
  /** Reads the live sessions at a core and notes what the invariant then demands. */
  void read(SessionNode& reader);
  /** One random kill, restart, freeze or cut. */
  void disturb();
  void repair();
  bool allServing();

  simulation::World world;
  simulation::Network network{world};
  std::vector<std::unique_ptr<SessionNode>> nodes;
  /** Whether fronts bring versions they hear of into force. */
  bool apply_versions = true;
  std::string violation;
  std::uint64_t reads_completed = 0;
  /** Fronts alive but absent from a completed read. */
  std::uint64_t absences = 0;
  std::uint64_t checks_dispatching = 0;
  std::uint64_t checks_without_core = 0;
  base::RandomSource random;

 private:
  void check();
  void startCore(SessionNode& node);
  void startFront(SessionNode& node);
  void onRead(std::uint64_t committed, const std::vector<wire::SessionTableEntry>& live);
  std::vector<base::NodeAddress> cores() const;
  std::uint64_t acceptedAtMajority() const;

  FleetFaults faults_;
  std::uint64_t next_version_ = 1;
  std::uint64_t next_instance_ = 1;
  /** The least version with which an instance may dispatch. */
  std::map<std::uint64_t, std::uint64_t> required_;
};

}  // namespace switchsaddle::sessions
