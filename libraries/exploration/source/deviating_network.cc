#include "switchsaddle/exploration/deviating_network.h"

#include <sstream>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/message_name.h"

namespace switchsaddle::exploration {

namespace {

/** Longer than every time-out of a request between nodes. */
constexpr base::Duration LongDelay = std::chrono::milliseconds(1'200);

std::uint64_t chainedHash(std::uint64_t hash, const base::NodeAddress& from,
                          const base::NodeAddress& to, const std::string& bytes) {
  return base::hashBytes(std::to_string(hash) + from.toString() + to.toString() + bytes);
}

std::string envelopeKindName(wire::EnvelopeKind kind) {
  switch (kind) {
    case wire::EnvelopeKind::Notification:
      return "notification";
    case wire::EnvelopeKind::Request:
      return "request";
    case wire::EnvelopeKind::Reply:
      return "reply";
  }
  return "unknown";
}

}  // namespace

DeviatingNetwork::DeviatingNetwork(simulation::World& world, simulation::Network& network,
                                   Machines& machines, const Schedule& schedule)
    : world_(world), network_(network), machines_(machines), schedule_(schedule) {
  network_.fate = [this](const base::NodeAddress& from, const base::NodeAddress& to,
                         const wire::Envelope& envelope,
                         const std::string& bytes) { return fateOf(from, to, envelope, bytes); };
}

DeviatingNetwork::~DeviatingNetwork() {
  network_.fate = nullptr;
}

simulation::EnvelopeFate DeviatingNetwork::fateOf(const base::NodeAddress& from,
                                                  const base::NodeAddress& to,
                                                  const wire::Envelope& envelope,
                                                  const std::string& bytes) {
  if (ending_.contains(from)) {
    return {.lost = true};
  }
  if (!open_ || !machines_.contains(from) || !machines_.contains(to)) {
    return {};
  }
  const std::uint64_t number = messages_++;
  fingerprint_ = chainedHash(fingerprint_, from, to, bytes);
  states_.push_back(fingerprint_);
  const bool deviates =
      next_deviation_ < schedule_.size() && schedule_[next_deviation_].message == number;
  const std::string name = deviates ? deviationName(schedule_[next_deviation_].kind) : "";
  addTraceLine(from, to, envelope, name);
  return deviates ? apply(schedule_[next_deviation_++].kind, from, to) : simulation::EnvelopeFate{};
}

simulation::EnvelopeFate DeviatingNetwork::apply(DeviationKind kind, const base::NodeAddress& from,
                                                 const base::NodeAddress& to) {
  switch (kind) {
    case DeviationKind::LoseMessage:
      return {.lost = true};
    case DeviationKind::DelayMessage:
      return {.extra_delay = LongDelay};
    case DeviationKind::DuplicateMessage:
      return {.duplicated = true};
    default:
      disturbMachine(kind, from, to);
      return {};
  }
}

void DeviatingNetwork::disturbMachine(DeviationKind kind, const base::NodeAddress& from,
                                      const base::NodeAddress& to) {
  // A machine that is silent from here on changes no later message, but the state.
  fingerprint_ = chainedHash(fingerprint_, from, to, deviationName(kind));
  switch (kind) {
    case DeviationKind::KillSender:
    case DeviationKind::WipeSender:
      ending_.insert(from);
      afterThisEvent([this, from, kind] {
        ending_.erase(from);
        kind == DeviationKind::KillSender ? machines_.kill(from) : machines_.wipe(from);
      });
      break;
    case DeviationKind::KillReceiver:
      afterThisEvent([this, to] { machines_.kill(to); });
      break;
    case DeviationKind::WipeReceiver:
      afterThisEvent([this, to] { machines_.wipe(to); });
      break;
    case DeviationKind::FreezeSender:
      afterThisEvent([this, from] { machines_.freeze(from); });
      break;
    case DeviationKind::FreezeReceiver:
      afterThisEvent([this, to] { machines_.freeze(to); });
      break;
    default:
      break;
  }
}

void DeviatingNetwork::afterThisEvent(std::function<void()> action) {
  world_.schedule(base::Duration::zero(), std::move(action));
}

void DeviatingNetwork::addTraceLine(const base::NodeAddress& from, const base::NodeAddress& to,
                                    const wire::Envelope& envelope, const std::string& deviation) {
  if (!keeps_trace_) {
    return;
  }
  std::ostringstream line;
  line << base::toMilliseconds(world_.now().time_since_epoch()) << " ms  message " << messages_ - 1
       << "  " << from.toString() << " -> " << to.toString() << "  "
       << wire::messageName(envelope.message) << " " << envelopeKindName(envelope.kind);
  if (!deviation.empty()) {
    line << "  ** " << deviation;
  }
  trace_.push_back(line.str());
}

}  // namespace switchsaddle::exploration
