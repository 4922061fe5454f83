#pragma once

#include <memory>
#include <string>
#include <vector>

#include "forward/forward_fixture.h"

namespace switchsaddle::front {

/** A flow with a route of each kind, a tenant and three workers. */
class ForwardFlowTest : public ForwardFixture {
 protected:
  ForwardFlowTest() : ForwardFixture(RetryAllowance{0.2, 10}) {
    using configuration::ForwardKind;
    configuration::Forwarding& forwarding = fleet_view.view.forwarding;
    forwarding.pools["shop"].name = "shop";
    addRoute("once", ForwardKind::AtMostOnce, 1);
    addRoute("again", ForwardKind::Idempotent, 2);
    addRoute("stream", ForwardKind::EventStream, 1);
    addRoute("resumed", ForwardKind::ResumableStream, 2);
    configuration::ForwardTenant& tenant = forwarding.tenants["t"];
    tenant.name = "t";
    tenant.key_hashes = {configuration::sha256Hex("secret")};
    tenant.priority = 1;
    tenant.has_priority = true;
    forwarding.index();
    for (const char* name : {"w1", "w2", "w3"}) {
      fleet_view.addWorker(name, "shop");
    }
    for (int count = 0; count < 100; ++count) {
      retries.countFirstAttempt("shop");
    }
    quotas.setAllocations({});
  }
  void addRoute(const std::string& name, configuration::ForwardKind kind, std::uint32_t attempts) {
    configuration::ForwardRoute& route = fleet_view.view.forwarding.routes[name];
    route.name = name;
    route.host = "a.example";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.targets = {{"shop", 1}};
    route.attempts = attempts;
    route.time_limit_ms = 2'000;
  }
  std::shared_ptr<ForwardWriter> run(const std::string& route,
                                     const std::vector<http::Header>& more = {}) {
    http::Request message;
    message.method = "POST";
    message.target = "/" + route + "/x?y=1";
    message.headers = {{"Host", "A.example:80"}, {"Request-Id", "r-1"},
                       {"Caller-Key", "secret"}, {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "mine"},        {"Tenant", "forged"},
                       {"Other", "kept"},        {"Request-Priority", "0"}};
    message.headers.insert(message.headers.end(), more.begin(), more.end());
    message.body = "body";
    auto writer = std::make_shared<ForwardWriter>();
    flow.run(parseForwardRequest(fleet_view.configuration(), message, {}), writer);
    return writer;
  }
  FakeForwardPort::Sent& last() { return port.sent.back(); }
};

}  // namespace switchsaddle::front
