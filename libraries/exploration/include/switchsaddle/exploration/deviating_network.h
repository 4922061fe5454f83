#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/exploration/deviation.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::exploration {

/** The machines whose processes and disks a schedule disturbs; they recover by themselves later. */
class Machines {
 public:
  virtual ~Machines() = default;
  virtual void kill(const base::NodeAddress& machine) = 0;
  /** Ends the process and empties the disk. */
  virtual void wipe(const base::NodeAddress& machine) = 0;
  virtual void freeze(const base::NodeAddress& machine) = 0;
  /** Whether messages of this address are numbered and may be deviated at. */
  virtual bool contains(const base::NodeAddress& address) const = 0;
};

/**
 * Numbers the messages between the machines of a simulated network and applies a schedule to them,
 * from open() to close(). Keeps a hash chain over the messages, and over what was done to machines,
 * as the run's fingerprint: runs with the same fingerprint have sent the same messages in the same
 * order, disturbed by the same crashes.
 */
class DeviatingNetwork {
 public:
  /** All arguments outlive the object, whose destructor detaches it from the network. */
  DeviatingNetwork(simulation::World& world, simulation::Network& network, Machines& machines,
                   const Schedule& schedule);
  ~DeviatingNetwork();
  DeviatingNetwork(const DeviatingNetwork&) = delete;
  DeviatingNetwork& operator=(const DeviatingNetwork&) = delete;

  /** Starts numbering, from 0 on. */
  void open() { open_ = true; }
  /** Ends numbering; deviations that were not reached are not applied. */
  void close() { open_ = false; }
  /** Keeps a line of text for each numbered message. */
  void keepTrace() { keeps_trace_ = true; }

  std::uint64_t messages() const { return messages_; }
  std::uint64_t fingerprint() const { return fingerprint_; }
  /** @return the fingerprint after each numbered message. */
  const std::vector<std::uint64_t>& states() const { return states_; }
  const std::vector<std::string>& trace() const { return trace_; }

 private:
  simulation::EnvelopeFate fateOf(const base::NodeAddress& from, const base::NodeAddress& to,
                                  const wire::Envelope& envelope, const std::string& bytes);
  simulation::EnvelopeFate apply(DeviationKind kind, const base::NodeAddress& from,
                                 const base::NodeAddress& to);
  void disturbMachine(DeviationKind kind, const base::NodeAddress& from,
                      const base::NodeAddress& to);
  /** Runs the action right after the event in progress. */
  void afterThisEvent(std::function<void()> action);
  void addTraceLine(const base::NodeAddress& from, const base::NodeAddress& to,
                    const wire::Envelope& envelope, const std::string& deviation);

  simulation::World& world_;
  simulation::Network& network_;
  Machines& machines_;
  const Schedule& schedule_;
  std::size_t next_deviation_ = 0;
  bool open_ = false;
  bool keeps_trace_ = false;
  std::uint64_t messages_ = 0;
  std::uint64_t fingerprint_ = 0;
  std::vector<std::uint64_t> states_;
  std::vector<std::string> trace_;
  /** Machines whose process ends right after the event in progress; they send nothing more. */
  std::set<base::NodeAddress> ending_;
};

}  // namespace switchsaddle::exploration
