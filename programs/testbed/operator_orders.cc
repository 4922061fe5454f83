#include "operator_orders.h"

#include <chrono>
#include <thread>

#include "http_probe.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/records/order_event.h"

namespace switchsaddle::testbed_commands {
namespace {

namespace order_event = testbed::order_event;

/** Slightly longer than a node waits for a change to be acknowledged. */
constexpr base::Duration AnswerLimit = std::chrono::seconds(3);
constexpr base::Duration OrderLimit = std::chrono::seconds(40);
constexpr base::Duration Pause = std::chrono::milliseconds(100);
constexpr std::uint16_t StatusInForce = 200;

}  // namespace

OperatorOrders::OperatorOrders(std::vector<base::NodeAddress> nodes, std::string operator_key,
                               std::string name, OrderRecord& record)
    : nodes_(std::move(nodes)),
      operator_key_(std::move(operator_key)),
      name_(std::move(name)),
      record_(record) {}

bool OperatorOrders::evacuate(const std::string& zone) {
  const std::string id = newChangeId();
  const bool acknowledged = send("POST", "/v1/zones/" + zone + "/evacuation", id,
                                 R"({"change_id":")" + id + "\"}", "evacuate " + zone);
  if (acknowledged) {
    record_.note(order_event::Evacuated, zone, id);
  }
  return acknowledged;
}

bool OperatorOrders::restore(const std::string& zone) {
  const std::string id = newChangeId();
  record_.note(order_event::Restored, zone, id);
  return send("DELETE", "/v1/zones/" + zone + "/evacuation?change_id=" + id, id, "",
              "restore " + zone);
}

bool OperatorOrders::revokeKey(const std::string& tenant) {
  const std::string id = newChangeId();
  const bool acknowledged =
      send("DELETE", "/v1/keys/" + tenant + "?change_id=" + id, id, "", "revoke " + tenant);
  if (acknowledged) {
    record_.note(order_event::Revoked, tenant, id);
  }
  return acknowledged;
}

bool OperatorOrders::addKey(const std::string& tenant) {
  const std::string id = newChangeId();
  record_.note(order_event::Added, tenant, id);
  const std::string hash = configuration::sha256Hex("key-" + tenant);
  return send("POST", "/v1/keys", id,
              R"({"change_id":")" + id + R"(","tenant":")" + tenant + R"(","id":")" + tenant +
                  R"(","sha256":")" + hash + "\"}",
              "add " + tenant);
}

bool OperatorOrders::send(const std::string& method, const std::string& path,
                          const std::string& change_id, const std::string& body,
                          const std::string& what) {
  const auto started = std::chrono::steady_clock::now();
  http::Request request;
  request.method = method;
  request.target = path;
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + operator_key_}};
  request.body = body;
  std::string last = "no answer";
  while (std::chrono::steady_clock::now() - started < OrderLimit) {
    const auto response = fetchOnce(nodes_.at(turn_++ % nodes_.size()), request, AnswerLimit);
    if (response.has_value()) {
      last = std::to_string(response->status) + " " + response->body;
    }
    if (response.has_value() && response->status == StatusInForce) {
      const auto took = std::chrono::steady_clock::now() - started;
      record_.note("acknowledged", what, std::to_string(base::toMilliseconds(took)) + " ms");
      return true;
    }
    std::this_thread::sleep_for(Pause);
  }
  record_.note("not-acknowledged", what, change_id + ": " + last);
  return false;
}

std::string OperatorOrders::newChangeId() {
  return name_ + "-" + std::to_string(++orders_);
}

}  // namespace switchsaddle::testbed_commands
