#include <boost/json.hpp>

#include "soak/soak_dialect.h"
#include "soak/soak_operator.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::testbed_commands {

namespace {

constexpr int ListedSlots = 16;
constexpr const char* SoakModel = "m";

boost::json::object forwardingRoute(const char* kind, const char* prefix) {
  return {{"host", SoakHost},
          {"path_prefix", prefix},
          {"kind", kind},
          {"targets", boost::json::array{boost::json::object{{"pool", SoakService}}}},
          {"time_limit_ms", 4'000},
          {"answer_goal_ms", 500},
          {"event_gap_goal_ms", 600},
          {"attempts", 2},
          {"open", true}};
}

boost::json::object firstDocument() {
  const boost::json::object shape{{"services", boost::json::array{SoakService, "completions"}},
                                  {"first_token_ms", 2'000},
                                  {"stream_deadline_ms", 30'000},
                                  {"one_shot_deadline_ms", 4'000},
                                  {"maximum_tokens", 64}};
  return {{"shapes/soak", shape},
          {"share/root", boost::json::object{{"slots", 400}}},
          {"tenants/soak",
           boost::json::object{
               {"shape", "soak"}, {"stream_branch", "root"}, {"one_shot_branch", "root"}}},
          {"routes/soak", boost::json::object{{"service", SoakService}, {"pool", SoakService}}},
          {"routes/completions", boost::json::object{{"service", "completions"},
                                                     {"models", boost::json::array{SoakModel}},
                                                     {"pool", SoakService}}},
          {"keys/soak", boost::json::object{{"sha256", configuration::sha256Hex(SoakTenantKey)},
                                            {"tenant", "soak"}}},
          {"forwarding/pools/soak", boost::json::object{}},
          {"forwarding/routes/once", forwardingRoute("at-most-once", "/once/")},
          {"forwarding/routes/stream", forwardingRoute("event-stream", "/stream/")}};
}

class ProductDialect : public SoakDialect {
 public:
  void prepareWorker(testbed::WireWorkerOptions& /*worker*/) const override {}

  void prepareClient(testbed::WireClientOptions& client) const override {
    client.tenant_key = SoakTenantKey;
    client.service = SoakService;
  }

  std::string workerList(const std::vector<ListedInstance>& instances) const override {
    boost::json::array listed;
    for (const ListedInstance& instance : instances) {
      listed.push_back(boost::json::object{{"id", instance.id},
                                           {"address", instance.address.toString()},
                                           {"zone", instance.zone},
                                           {"models", boost::json::array{SoakModel}},
                                           {"service", SoakService},
                                           {"stage", "both"},
                                           {"weights_version", "1"},
                                           {"slots", ListedSlots},
                                           {"state", "ready"}});
    }
    return boost::json::serialize(boost::json::object{{"workers", std::move(listed)}});
  }

  http::Request firstConfiguration() const override {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/configuration/changes";
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", std::string("Bearer ") + SoakOperatorKey}};
    request.body = boost::json::serialize(boost::json::object{
        {"change_id", "initial"}, {"base_version", 0}, {"document", firstDocument()}});
    return request;
  }

  std::string settings(const testbed::FleetState& state,
                       const testbed::FleetProcess& process) const override {
    return testbed::settingsText(state, process, configuration::sha256Hex(state.operator_key));
  }

  OperatorPtr createOperator(OperatorContext context) const override {
    return std::make_unique<SoakOperator>(std::move(context));
  }

  bool frontsServeOperators() const override { return true; }
};

}  // namespace

std::unique_ptr<SoakDialect> createProductDialect() {
  return std::make_unique<ProductDialect>();
}

}  // namespace switchsaddle::testbed_commands
