#include "switchsaddle/simulation/network.h"

#include <algorithm>

namespace switchsaddle::simulation {

/** The transport of one incarnation of a process at one address. */
class Network::Endpoint : public transport::Transport {
 public:
  Endpoint(Network& network, base::NodeAddress address, Process& process, std::uint64_t incarnation)
      : network_(network),
        address_(std::move(address)),
        process_(process),
        incarnation_(incarnation) {}
  ~Endpoint() override { network_.detach(address_); }

  const base::NodeAddress& localAddress() const override { return address_; }
  void setReceiver(transport::Receiver* receiver) override { receiver_ = receiver; }
  void send(const base::NodeAddress& to, const wire::Envelope& envelope) override {
    network_.send(*this, to, envelope);
  }

  Process& process() { return process_; }
  std::uint64_t incarnation() const { return incarnation_; }
  transport::Receiver* receiver() { return receiver_; }

 private:
  Network& network_;
  base::NodeAddress address_;
  Process& process_;
  std::uint64_t incarnation_;
  transport::Receiver* receiver_ = nullptr;
};

Network::~Network() = default;

std::unique_ptr<transport::Transport> Network::attach(const base::NodeAddress& address,
                                                      Process& process) {
  auto endpoint = std::make_unique<Endpoint>(*this, address, process, next_incarnation_++);
  endpoints_[address] = endpoint.get();
  return endpoint;
}

void Network::detach(const base::NodeAddress& address) {
  endpoints_.erase(address);
}

void Network::cut(const base::NodeAddress& first, const base::NodeAddress& second) {
  partitions_.insert(std::minmax(first, second));
}

void Network::heal(const base::NodeAddress& first, const base::NodeAddress& second) {
  partitions_.erase(std::minmax(first, second));
}

bool Network::isPartitioned(const base::NodeAddress& first, const base::NodeAddress& second) const {
  return partitions_.contains(std::minmax(first, second));
}

base::Duration Network::randomDelay() {
  const auto spread = conditions.maximum_delay - conditions.minimum_delay;
  const auto extra = world_.random().below(static_cast<std::uint64_t>(spread.count()) + 1);
  return conditions.minimum_delay + base::Duration(static_cast<std::int64_t>(extra));
}

base::Duration Network::workOf(std::size_t bytes) const {
  constexpr std::size_t Kilobyte = 1'024;
  const auto count = static_cast<std::int64_t>(bytes);
  return conditions.work_per_envelope +
         conditions.work_per_kilobyte * count / static_cast<std::int64_t>(Kilobyte);
}

void Network::send(Endpoint& from, const base::NodeAddress& to, const wire::Envelope& envelope) {
  const std::string bytes = wire::encode(envelope);
  ++envelopes_sent_;
  bytes_sent_ += bytes.size();
  from.process().spend(workOf(bytes.size()));
  if (observer) {
    observer(to, envelope, bytes.size());
  }
  const EnvelopeFate chosen =
      fate ? fate(from.localAddress(), to, envelope, bytes) : EnvelopeFate{};
  if (world_.random().chance(conditions.loss) || chosen.lost) {
    return;
  }
  const Delivery delivery{
      from.localAddress(), to, from.incarnation(), {envelope.kind, envelope.request_id}, bytes};
  schedule(delivery, chosen.extra_delay);
  if (world_.random().chance(conditions.duplication) || chosen.duplicated) {
    schedule(delivery, chosen.extra_delay);
  }
}

void Network::schedule(const Delivery& delivery, base::Duration extra_delay) {
  world_.schedule(randomDelay() + extra_delay, [this, delivery] { deliver(delivery); });
}

void Network::deliver(const Delivery& delivery) {
  if (isPartitioned(delivery.from, delivery.to)) {
    return;
  }
  const auto target = endpoints_.find(delivery.to);
  if (target == endpoints_.end()) {
    refuse(delivery);
    return;
  }
  const std::uint64_t target_incarnation = target->second->incarnation();
  Process& process = target->second->process();
  process.post([this, &process, to = delivery.to, target_incarnation, bytes = delivery.bytes] {
    if (transport::Receiver* receiver = receiverOf(to, target_incarnation)) {
      process.spend(workOf(bytes.size()));
      receiver->onEnvelope(wire::decode(bytes));
    }
  });
}

void Network::refuse(const Delivery& delivery) {
  const auto sender = endpoints_.find(delivery.from);
  const bool sender_runs =
      sender != endpoints_.end() && sender->second->incarnation() == delivery.sender_incarnation;
  if (!sender_runs) {
    return;
  }
  sender->second->process().postAfter(
      conditions.minimum_delay,
      [this, from = delivery.from, to = delivery.to, incarnation = delivery.sender_incarnation,
       envelope = delivery.envelope] {
        if (transport::Receiver* receiver = receiverOf(from, incarnation)) {
          receiver->onRefused(to, envelope);
        }
      });
}

transport::Receiver* Network::receiverOf(const base::NodeAddress& address,
                                         std::uint64_t incarnation) {
  const auto found = endpoints_.find(address);
  const bool runs = found != endpoints_.end() && found->second->incarnation() == incarnation;
  return runs ? found->second->receiver() : nullptr;
}

}  // namespace switchsaddle::simulation
