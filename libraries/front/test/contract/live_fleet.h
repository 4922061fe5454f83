#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "fleet/simulated_fleet.h"
#include "switchsaddle/core/control/core_http_service.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::front::contract {

/**
 * A simulated fleet whose first front and first core serve real HTTP on loopback. exchange() runs
 * both the sockets and the simulated clock.
 */
class LiveFleet {
 public:
  LiveFleet()
      : fleet_(1,
               [](simulation::World&, simulation::Process& process) {
                 return std::make_unique<PromptWorkers>(process);
               }),
        core_service_(fleet_.cores[0]->incarnation->node, nullptr),
        front_server_(http::startServer(
            context_, {"127.0.0.1", 0}, {},
            [this](http::Request request, http::ResponseWriterPtr writer) {
              fleet_.fronts[0]->node().service().enqueue(std::move(request), std::move(writer));
            })),
        core_server_(http::startServer(
            context_, {"127.0.0.1", 0}, {},
            [this](http::Request request, http::ResponseWriterPtr writer) {
              fleet_.cores[0]->process.post([this, request = std::move(request), writer] {
                core_service_.handle(request, [writer](http::Response response) {
                  writer->respond(std::move(response));
                });
              });
            })) {}

  /** Runs until the configuration is in force and all fronts are ready. */
  bool begin() { return fleet_.change(0, fullConfiguration()) == 200 && fleet_.allReady(); }

  /** @return the address of the node of this role: "front" or "core". */
  base::NodeAddress address(const std::string& role) const {
    return role == "front" ? front_server_->address() : core_server_->address();
  }

  /** @return the response, or std::nullopt if none arrived. */
  std::optional<http::Response> exchange(const std::string& role, http::Request request) {
    std::optional<http::Response> received;
    bool ended = false;
    client_->fetch(address(role), std::move(request), {},
                   [&](const http::Response* response, http::ExchangeFailure) {
                     ended = true;
                     if (response != nullptr) {
                       received = *response;
                     }
                   });
    for (int step = 0; !ended && step < MaximumSteps; ++step) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(1));
      context_.poll();
      fleet_.world.runFor(std::chrono::milliseconds(1));
    }
    EXPECT_TRUE(ended);
    return received;
  }

  Fleet& fleet() { return fleet_; }

 private:
  /** Time-out of an exchange, in simulated milliseconds. */
  static constexpr int MaximumSteps = 60'000;

  boost::asio::io_context context_;
  Fleet fleet_;
  core::CoreHttpService core_service_;
  std::unique_ptr<http::Server> front_server_;
  std::unique_ptr<http::Server> core_server_;
  std::unique_ptr<http::Client> client_ = http::createClient(context_);
};

}  // namespace switchsaddle::front::contract
