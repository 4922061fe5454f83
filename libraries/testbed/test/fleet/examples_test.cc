#include <gtest/gtest.h>

#include <algorithm>

#include "source_directory.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/load/load_plan.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

/** Expected total rates of a deployment's example load, in requests per second. */
struct ExampleCase {
  const char* name;
  double requests_per_s;
  double one_shots_per_s;
};

std::string caseName(const ExampleCase& example) {
  std::string name = example.name;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class ExampleTest : public testing::TestWithParam<ExampleCase> {
 protected:
  static std::string read(const std::string& file) {
    return readTextFile(std::string(SWITCHSADDLE_SOURCE_DIR) + "/examples/" + GetParam().name +
                        "/" + file);
  }
  configuration::View view() {
    std::vector<configuration::Fault> faults;
    return configuration::buildView(
        configuration::parseConfigurationFile(read("configuration.json"), faults));
  }
};

TEST_P(ExampleTest, LoadFitsTheConfiguration) {
  const LoadPlan plan = parseLoadPlan(read("load.json"));
  const configuration::View configured = view();
  double one_shots = 0;
  for (const LoadTenant& tenant : plan.tenants) {
    one_shots += tenant.one_shots_per_s;
    const auto key = configured.keys.find(configuration::sha256Hex(tenant.key));
    ASSERT_NE(key, configured.keys.end()) << tenant.name;
    EXPECT_EQ(key->second.tenant, tenant.name);
    const auto& services = configured.tenants.at(tenant.name).shape.services;
    for (const std::string& model : tenant.models) {
      EXPECT_NE(configured.routeOfModel(model), nullptr) << model;
    }
    if (tenant.one_shots_per_s > 0) {
      EXPECT_EQ(std::count(services.begin(), services.end(), tenant.one_shot_service), 1);
    }
  }
  EXPECT_DOUBLE_EQ(plan.requestsPerSecond(), GetParam().requests_per_s);
  EXPECT_DOUBLE_EQ(one_shots, GetParam().one_shots_per_s);
}

TEST_P(ExampleTest, LayoutServesEveryRoute) {
  const FleetLayout layout = parseFleetLayout(read("layout.json"));
  const configuration::View configured = view();
  EXPECT_TRUE(configured.operator_hashes.contains(configuration::sha256Hex(layout.operator_key)));
  for (const auto& [name, route] : configured.routes) {
    EXPECT_TRUE(std::any_of(layout.workers.begin(), layout.workers.end(),
                            [&route = route](const LayoutWorker& worker) {
                              return worker.listed.service == route.pool &&
                                     worker.listed.models == route.models;
                            }))
        << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Examples, ExampleTest,
                         testing::Values(ExampleCase{"demo", 15, 3},
                                         ExampleCase{"tavola-comune", 45, 10},
                                         ExampleCase{"red-comunitaria", 75, 15}),
                         [](const auto& test_case) { return caseName(test_case.param); });

}  // namespace
}  // namespace switchsaddle::testbed
