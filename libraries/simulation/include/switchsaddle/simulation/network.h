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

/** How the simulated network treats envelopes. */
struct NetworkConditions {
  base::Duration minimum_delay = std::chrono::microseconds(100);
  base::Duration maximum_delay = std::chrono::milliseconds(2);
  double loss = 0.0;
  /** Chance that an envelope is delivered a second time, later. */
  double duplication = 0.0;
  /** Processor time that sending or taking one envelope costs, and each 1,024 bytes of it. */
  base::Duration work_per_envelope{};
  base::Duration work_per_kilobyte{};
};

/**
 * Carries envelopes between simulated processes with random delays, so that they may overtake each
 * other. Each goes through wire::encode and decode. Envelopes to an address without a running
 * process are refused; those across a cut vanish.
 */
class Network {
 public:
  explicit Network(World& world) : world_(world) {}
  ~Network();

  using Observer = std::function<void(const base::NodeAddress& to, const wire::Envelope& envelope,
                                      std::size_t bytes)>;

  NetworkConditions conditions;
  /** Where set, sees every envelope that is sent, delivered or not. */
  Observer observer;

  /** The transport of a process at an address; one at a time for each address. Detached when
   * destroyed. */
  std::unique_ptr<transport::Transport> attach(const base::NodeAddress& address, Process& process);
  /** Cuts both directions between two addresses. */
  void cut(const base::NodeAddress& first, const base::NodeAddress& second);
  void heal(const base::NodeAddress& first, const base::NodeAddress& second);
  void healAll() { cuts_.clear(); }
  std::uint64_t envelopesSent() const { return envelopes_sent_; }
  std::uint64_t bytesSent() const { return bytes_sent_; }

 private:
  class Endpoint;
  friend class Endpoint;
  /** One envelope on its way. */
  struct Parcel {
    base::NodeAddress from;
    base::NodeAddress to;
    std::uint64_t sender_incarnation;
    transport::RefusedEnvelope envelope;
    std::string bytes;
  };

  void send(Endpoint& from, const base::NodeAddress& to, const wire::Envelope& envelope);
  void detach(const base::NodeAddress& address);
  void deliver(const Parcel& parcel);
  void scheduleDelivery(const Parcel& parcel);
  /** Tells the sender, where it still lives, that nobody listens. */
  void refuse(const Parcel& parcel);
  /** The receiver of one life at an address; nullptr where it has ended. */
  transport::Receiver* receiverOf(const base::NodeAddress& address, std::uint64_t incarnation);
  bool isCut(const base::NodeAddress& first, const base::NodeAddress& second) const;
  base::Duration randomDelay();
  base::Duration workOf(std::size_t bytes) const;

  World& world_;
  std::map<base::NodeAddress, Endpoint*> endpoints_;
  std::set<std::pair<base::NodeAddress, base::NodeAddress>> cuts_;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t envelopes_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace switchsaddle::simulation
