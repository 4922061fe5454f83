#include "switchsaddle/testbed/load/load_plan.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

constexpr const char* Plan = R"({
  "tenants": [{"name": "large", "key": "k1", "streams_per_s": 30, "models": ["small"]},
              {"name": "till", "key": "k2", "one_shots_per_s": 10,
               "one_shot_service": "confirmations"}],
  "prefixes": {"families": 10, "zipf": 1.0, "parts": 2}, "resend_share": 0.1})";
constexpr int Draws = 20'000;

TEST(ArrivalGeneratorTest, EqualSeedsGiveEqualArrivals) {
  ArrivalGenerator first(parseLoadPlan(Plan), 7);
  ArrivalGenerator second(parseLoadPlan(Plan), 7);
  ArrivalGenerator other(parseLoadPlan(Plan), 8);
  bool differs = false;
  for (int draw = 0; draw < 100; ++draw) {
    const Arrival arrival = first.next();
    EXPECT_EQ(arrival.at, second.next().at);
    differs = differs || arrival.at != other.next().at;
  }
  EXPECT_TRUE(differs);
}

TEST(ArrivalGeneratorTest, KeepsRatesMixAndResendShare) {
  ArrivalGenerator generator(parseLoadPlan(Plan), 1);
  int one_shots = 0;
  int resends = 0;
  std::set<std::string> keys;
  base::Duration last{};
  for (int draw = 0; draw < Draws; ++draw) {
    const Arrival arrival = generator.next();
    EXPECT_GE(arrival.at, last);
    last = arrival.at;
    if (arrival.kind == CallKind::OneShot) {
      ++one_shots;
      resends += arrival.resent_early ? 1 : 0;
      EXPECT_TRUE(keys.insert(arrival.idempotency_key).second);
      EXPECT_EQ(arrival.service, "confirmations");
    }
  }
  EXPECT_NEAR(std::chrono::duration<double>(last).count(), Draws / 40.0, Draws / 40.0 * 0.05);
  EXPECT_NEAR(one_shots, Draws / 4.0, Draws * 0.02);
  EXPECT_NEAR(resends, one_shots * 0.1, one_shots * 0.03);
}

TEST(ArrivalGeneratorTest, DrawsFamiliesByZipfPopularity) {
  ArrivalGenerator generator(parseLoadPlan(Plan), 1);
  std::map<std::string, int> families;
  for (int draw = 0; draw < Draws; ++draw) {
    const Arrival arrival = generator.next();
    if (arrival.kind == CallKind::Stream) {
      ASSERT_EQ(arrival.segments.size(), 2U);
      ++families[arrival.segments[1].id];
    }
  }
  EXPECT_EQ(families.size(), 10U);
  EXPECT_NEAR(families["large/f0/1"] / static_cast<double>(families["large/f9/1"]), 10.0, 2.5);
}

TEST(LoadPlanTest, RejectsInvalidPlans) {
  for (const char* text :
       {"[]", "{}", R"({"tenants":[{"streams_per_s":1}]})", R"({"tenants":[{"streams_per_s":-1}]})",
        R"({"tenants":[{"one_shots_per_s":1}],"prefixes":{"families":0}})"}) {
    EXPECT_THROW(parseLoadPlan(text), base::Error) << text;
  }
}

TEST(LoadPlan, ABurstMultipliesOneTenantsArrivalsDuringItsPeriod) {
  LoadPlan plan;
  plan.tenants = {LoadTenant{"calm", "", 10, 0, "", {"m"}},
                  LoadTenant{"loud", "", 10, 0, "", {"m"}}};
  plan.bursts = {parseLoadBurst("loud:10:20:40")};
  ArrivalGenerator generator(plan, 1);
  std::map<std::pair<std::size_t, int>, int> counts;
  for (Arrival arrival = generator.next(); arrival.at < std::chrono::seconds(60);
       arrival = generator.next()) {
    const auto part = static_cast<int>(arrival.at / std::chrono::seconds(20));
    ++counts[{arrival.tenant, part}];
  }
  for (int part = 0; part < 3; ++part) {
    const int expected = part == 1 ? 2'000 : 200;
    EXPECT_NEAR((counts[{0, part}]), 200, 70);
    const int tolerance = expected / 3;
    EXPECT_NEAR((counts[{1, part}]), expected, tolerance);
  }
}

TEST(LoadPlan, RejectsAMalformedBurst) {
  for (const char* text : {"", "t", "t:10", "t:10:5:5", "t:0:1:2", "t:2:1:2x"}) {
    EXPECT_THROW(parseLoadBurst(text), base::Error) << text;
  }
  EXPECT_EQ(parseLoadBurst("all:2:1:3").tenant, "");
}

}  // namespace
}  // namespace switchsaddle::testbed
