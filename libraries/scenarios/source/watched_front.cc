#include "switchsaddle/scenarios/watched_front.h"

#include <utility>

#include "simulated_callers.h"

namespace switchsaddle::scenarios {

namespace {

http::Request requestOf(const wire::ControlRequest& forwarded) {
  http::Request request;
  request.method = forwarded.method;
  request.target = forwarded.target;
  request.body = forwarded.body;
  request.headers.push_back({"Authorization", forwarded.authorization});
  return request;
}

}  // namespace

/** All state that is lost with the process. */
struct WatchedFront::Incarnation {
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<base::RandomSource> random;
  std::unique_ptr<journal::Journal> journal;
  std::unique_ptr<ImmediateWorkers> workers;
  std::unique_ptr<DelayedSlots> slots;
  std::unique_ptr<front::FrontNode> node;
};

WatchedFront::WatchedFront(simulation::World& world, simulation::Network& network,
                           configuration::Settings settings, sessions::SessionClientFaults faults)
    : world_(world),
      network_(network),
      settings_(std::move(settings)),
      faults_(faults),
      process_(world) {}

WatchedFront::~WatchedFront() = default;

void WatchedFront::start() {
  process_.start();
  incarnation_ = std::make_unique<Incarnation>();
  Incarnation& incarnation = *incarnation_;
  incarnation.transport = network_.attach(settings_.peer_address, process_);
  incarnation.calls = std::make_unique<transport::PeerCalls>(process_, *incarnation.transport);
  incarnation.random = std::make_unique<base::RandomSource>(world_.random().next());
  incarnation.journal = std::make_unique<journal::Journal>(process_);
  incarnation.slots = std::make_unique<DelayedSlots>(process_, *incarnation.random);
  incarnation.workers = std::make_unique<ImmediateWorkers>(process_, [this](
                                                                         const front::WorkerRequest&
                                                                             request) {
    if (on_dispatch_) {
      on_dispatch_({address(), incarnation_->node->replica().version(), keyNamedIn(request.body)});
    }
  });
  front::FrontEnvironment environment{
      process_,  *incarnation.calls,  *incarnation.random, *incarnation.journal,
      settings_, *incarnation.workers};
  environment.instance = incarnation.random->next();
  environment.slots = incarnation.slots.get();
  environment.session_faults = faults_;
  incarnation.node = std::make_unique<front::FrontNode>(environment);
  handleControlRequests();
  incarnation.node->start();
}

void WatchedFront::handleControlRequests() {
  incarnation_->calls->handle<wire::ControlRequest>([this](const base::NodeAddress& /*from*/,
                                                           const wire::ControlRequest& request,
                                                           const transport::ReplyFunction& reply) {
    auto writer = std::make_shared<CallbackWriter>([reply](http::Response response) {
      reply(wire::ControlReply{response.status, std::move(response.body)});
    });
    incarnation_->node->service().enqueue(requestOf(request), std::move(writer));
  });
}

void WatchedFront::kill() {
  process_.kill();
  incarnation_.reset();
}

front::FrontNode& WatchedFront::node() {
  return *incarnation_->node;
}

const journal::Journal& WatchedFront::journal() const {
  return *incarnation_->journal;
}

void WatchedFront::openStream(const std::string& key) {
  if (!incarnation_) {
    return;
  }
  auto writer = std::make_shared<CallbackWriter>([this, key](const http::Response& response) {
    if (on_answer_) {
      on_answer_({key, static_cast<std::uint16_t>(response.status)});
    }
  });
  incarnation_->node->service().enqueue(streamRequest(key), std::move(writer));
}

std::optional<std::uint64_t> WatchedFront::dispatchVersion() const {
  if (!incarnation_ || process_.frozen()) {
    return std::nullopt;
  }
  const bool dispatches = incarnation_->node->session().mayDispatch();
  return dispatches ? std::optional(incarnation_->node->replica().version()) : std::nullopt;
}

void WatchedFront::onDraining(const std::string& worker) {
  node().fleetView().observeDraining(workers()->workers.at(worker));
}

workers::WorkerSnapshotPtr WatchedFront::workers() const {
  return incarnation_ ? incarnation_->node->directory().snapshot() : nullptr;
}

}  // namespace switchsaddle::scenarios
