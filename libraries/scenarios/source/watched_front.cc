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

/** All that dies with the process. */
struct WatchedFront::Life {
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<transport::PeerCalls> calls;
  std::unique_ptr<base::RandomSource> random;
  std::unique_ptr<journal::Journal> journal;
  std::unique_ptr<PromptWorkers> workers;
  std::unique_ptr<UnhurriedSlots> slots;
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
  life_ = std::make_unique<Life>();
  Life& life = *life_;
  life.transport = network_.attach(settings_.peer_address, process_);
  life.calls = std::make_unique<transport::PeerCalls>(process_, *life.transport);
  life.random = std::make_unique<base::RandomSource>(world_.random().next());
  life.journal = std::make_unique<journal::Journal>(process_);
  life.slots = std::make_unique<UnhurriedSlots>(process_, *life.random);
  life.workers =
      std::make_unique<PromptWorkers>(process_, [this](const front::WorkerRequest& request) {
        if (on_dispatch_) {
          on_dispatch_({address(), life_->node->replica().version(), keyNamedIn(request.body)});
        }
      });
  front::FrontEnvironment environment{process_,      *life.calls, *life.random,
                                      *life.journal, settings_,   *life.workers};
  environment.instance = life.random->next();
  environment.slots = life.slots.get();
  environment.session_faults = faults_;
  life.node = std::make_unique<front::FrontNode>(environment);
  handleControlRequests();
  life.node->start();
}

void WatchedFront::handleControlRequests() {
  life_->calls->handle<wire::ControlRequest>([this](const base::NodeAddress& /*from*/,
                                                    const wire::ControlRequest& request,
                                                    const transport::ReplyFunction& reply) {
    auto writer = std::make_shared<CallbackWriter>([reply](http::Response response) {
      reply(wire::ControlReply{response.status, std::move(response.body)});
    });
    life_->node->service().enqueue(requestOf(request), std::move(writer));
  });
}

void WatchedFront::kill() {
  process_.kill();
  life_.reset();
}

front::FrontNode& WatchedFront::node() {
  return *life_->node;
}

const journal::Journal& WatchedFront::journal() const {
  return *life_->journal;
}

void WatchedFront::openStream(const std::string& key) {
  if (!life_) {
    return;
  }
  auto writer = std::make_shared<CallbackWriter>([this, key](const http::Response& response) {
    if (on_answer_) {
      on_answer_({key, static_cast<std::uint16_t>(response.status)});
    }
  });
  life_->node->service().enqueue(streamRequest(key), std::move(writer));
}

std::optional<std::uint64_t> WatchedFront::dispatchVersion() const {
  if (!life_ || process_.frozen()) {
    return std::nullopt;
  }
  const bool dispatches = life_->node->session().mayDispatch();
  return dispatches ? std::optional(life_->node->replica().version()) : std::nullopt;
}

void WatchedFront::hearOfDraining(const std::string& worker) {
  node().beliefs().observeDraining(workers()->workers.at(worker));
}

workers::WorkerSnapshotPtr WatchedFront::workers() const {
  return life_ ? life_->node->directory().snapshot() : nullptr;
}

}  // namespace switchsaddle::scenarios
