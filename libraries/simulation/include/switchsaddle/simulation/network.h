#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/transport/transport.h"

namespace switchsaddle::simulation {

/** Delays, faults and costs of the simulated network. */
struct NetworkConditions {
  base::Duration minimum_delay = std::chrono::microseconds(100);
  base::Duration maximum_delay = std::chrono::milliseconds(2);
  /** Probability that an envelope is lost. */
  double loss = 0.0;
  /** Probability that an envelope is delivered twice. */
  double duplication = 0.0;
  /** Processor time for sending or receiving one envelope, and for each 1,024 bytes of it. */
  base::Duration work_per_envelope{};
  base::Duration work_per_kilobyte{};
};

/** What happens to one envelope on its way, in addition to the conditions. */
struct EnvelopeFate {
  bool lost = false;
  bool duplicated = false;
  base::Duration extra_delay{};
};

/**
 * Delivers envelopes between simulated processes with random delays, hence not in order. Each is
 * encoded by wire::encode and decoded on delivery. Envelopes to an address without a running
 * process are refused; those across a partition are lost.
 */
class Network {
 public:
  explicit Network(World& world) : world_(world) {}
  ~Network();

  using Observer = std::function<void(const base::NodeAddress& to, const wire::Envelope& envelope,
                                      std::size_t bytes)>;

  /** Decides the fate of an envelope, of which `bytes` is the encoded form. */
  using FateSource =
      std::function<EnvelopeFate(const base::NodeAddress& from, const base::NodeAddress& to,
                                 const wire::Envelope& envelope, const std::string& bytes)>;

  NetworkConditions conditions;
  /** If set, called for every envelope that is sent, delivered or not. */
  Observer observer;
  /** If set, called for every envelope that is sent. */
  FateSource fate;

  /** @return the transport of a process at an address, which is detached when destroyed. At most
   * one for each address at a time. */
  std::unique_ptr<transport::Transport> attach(const base::NodeAddress& address, Process& process);
  /** Partitions two addresses from each other, in both directions. */
  void cut(const base::NodeAddress& first, const base::NodeAddress& second);
  /** Ends the partition of two addresses. */
  void heal(const base::NodeAddress& first, const base::NodeAddress& second);
  void healAll() { partitions_.clear(); }
  std::uint64_t envelopesSent() const { return envelopes_sent_; }
  std::uint64_t bytesSent() const { return bytes_sent_; }

 private:
  class Endpoint;
  friend class Endpoint;
  /** One envelope in flight. */
  struct Delivery {
    base::NodeAddress from;
    base::NodeAddress to;
    std::uint64_t sender_incarnation;
    transport::RefusedEnvelope envelope;
    std::string bytes;
  };

  void send(Endpoint& from, const base::NodeAddress& to, const wire::Envelope& envelope);
  void detach(const base::NodeAddress& address);
  void deliver(const Delivery& delivery);
  void schedule(const Delivery& delivery, base::Duration extra_delay);
  /** Reports to the sender, if it is still running, that the receiver is not. */
  void refuse(const Delivery& delivery);
  /** @return the receiver of one incarnation at an address, or null if it has ended. */
  transport::Receiver* receiverOf(const base::NodeAddress& address, std::uint64_t incarnation);
  bool isPartitioned(const base::NodeAddress& first, const base::NodeAddress& second) const;
  base::Duration randomDelay();
  base::Duration workOf(std::size_t bytes) const;

  World& world_;
  std::map<base::NodeAddress, Endpoint*> endpoints_;
  std::set<std::pair<base::NodeAddress, base::NodeAddress>> partitions_;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t envelopes_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace switchsaddle::simulation
