#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "switchsaddle/simulation/network.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::transport {

/** Runs the context until the condition holds; @return false if 20 s pass first. */
inline bool runContextUntil(boost::asio::io_context& context,
                            const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

/** Harness of the contract tests for the simulated network. */
class SimulatedHarness {
 public:
  static constexpr bool KeepsOrder = false;

  Transport& start(int node) {
    std::unique_ptr<simulation::Process>& process = processes_[node];
    if (!process) {
      process = std::make_unique<simulation::Process>(world_);
    }
    process->start();
    transports_[node] = network_.attach(address(node), *process);
    return *transports_[node];
  }
  void stop(int node) {
    transports_.erase(node);
    processes_[node]->kill();
  }
  void freeze(int node) { processes_[node]->freeze(); }
  void wake(int node) { processes_[node]->wake(); }
  void runFor(base::Duration duration) { world_.runFor(duration); }
  base::NodeAddress address(int node) const { return {"127.0.1." + std::to_string(node), 7000}; }
  base::Dispatcher& dispatcher(int node) { return *processes_[node]; }
  bool runUntil(const std::function<bool()>& condition) {
    return world_.runUntil(condition, std::chrono::seconds(20));
  }

 private:
  simulation::World world_{1};
  simulation::Network network_{world_};
  std::map<int, std::unique_ptr<simulation::Process>> processes_;
  std::map<int, std::unique_ptr<Transport>> transports_;
};

/** Harness of the contract tests for loopback TCP. A node has the same port after a restart. */
class TcpHarness {
 public:
  static constexpr bool KeepsOrder = true;

  Transport& start(int node) {
    addresses_.try_emplace(node, base::NodeAddress{"127.0.1." + std::to_string(node), 0});
    transports_[node] = std::make_unique<TcpTransport>(context_, dispatcher_, addresses_[node]);
    addresses_[node] = transports_[node]->localAddress();
    return *transports_[node];
  }
  void stop(int node) { transports_.erase(node); }
  /** A node that was never started has an address on which no process listens. */
  base::NodeAddress address(int node) const {
    const auto found = addresses_.find(node);
    return found != addresses_.end() ? found->second : base::NodeAddress{"127.0.1.250", 9};
  }
  base::Dispatcher& dispatcher(int /*node*/) { return dispatcher_; }
  bool runUntil(const std::function<bool()>& condition) {
    return runContextUntil(context_, condition);
  }

 private:
  boost::asio::io_context context_;
  AsioDispatcher dispatcher_{context_};
  std::map<int, base::NodeAddress> addresses_;
  std::map<int, std::unique_ptr<TcpTransport>> transports_;
};

}  // namespace switchsaddle::transport
