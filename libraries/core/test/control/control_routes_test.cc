#include "control/control_routes.h"

#include <gtest/gtest.h>

namespace switchsaddle::core {
namespace {

TEST(ControlRoutesTest, RoutesByMethodAndPath) {
  const ControlRoute route = routeControl("POST", "/v1/zones/north/evacuation?change_id=1");
  EXPECT_TRUE(route.known_path);
  EXPECT_EQ(route.operation, ControlOperation::PostEvacuation);
  EXPECT_EQ(route.name, "north");
}

TEST(ControlRoutesTest, TheSamePathWithAnotherMethodIsAnotherOperation) {
  EXPECT_EQ(routeControl("DELETE", "/v1/zones/north/evacuation").operation,
            ControlOperation::DeleteEvacuation);
}

TEST(ControlRoutesTest, AKnownPathWithAnUnknownMethodHasNoOperation) {
  const ControlRoute route = routeControl("PUT", "/v1/configuration");
  EXPECT_TRUE(route.known_path);
  EXPECT_FALSE(route.operation.has_value());
}

TEST(ControlRoutesTest, AVariableSegmentIsNeverEmpty) {
  EXPECT_FALSE(routeControl("DELETE", "/v1/keys/").known_path);
  EXPECT_FALSE(routeControl("GET", "/v1/keys/a/b").known_path);
}

}  // namespace
}  // namespace switchsaddle::core
