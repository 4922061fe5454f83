#include "switchsaddle/workers/platform_list.h"

#include <gtest/gtest.h>

namespace switchsaddle::workers {
namespace {

using base::ResultCode;

TEST(PlatformListTest, ParsesAllFields) {
  const PlatformReading reading = parsePlatformList(
      R"({"generation": 7, "unknown": 1, "workers": [
      {"id": "a", "address": "10.0.0.1:80", "zone": "z1", "models": ["m", "n"], "service": "pool",
       "stage": "prefill", "state": "draining", "weights_version": "w", "slots": 4,
       "generation": 12}]})");
  ASSERT_EQ(reading.code, ResultCode::Ok) << reading.fault;
  EXPECT_EQ(reading.generation, 7U);
  ASSERT_EQ(reading.workers.size(), 1U);
  const wire::WorkerEntry& entry = reading.workers.front();
  EXPECT_EQ(entry.id, "a");
  EXPECT_EQ(entry.address.toString(), "10.0.0.1:80");
  EXPECT_EQ(entry.zone, "z1");
  EXPECT_EQ(entry.models, (std::vector<std::string>{"m", "n"}));
  EXPECT_EQ(entry.service, "pool");
  EXPECT_EQ(entry.stage, wire::WorkerStage::Prefill);
  EXPECT_EQ(entry.state, wire::WorkerState::Draining);
  EXPECT_EQ(entry.weights_version, "w");
  EXPECT_EQ(entry.slots, 4U);
  EXPECT_EQ(entry.instance, 12U);
}

struct MalformedList {
  const char* text;
  ResultCode code;
  const char* path;
};

class MalformedListTest : public testing::TestWithParam<MalformedList> {};

TEST_P(MalformedListTest, IsRejectedWithItsPath) {
  const PlatformReading reading = parsePlatformList(GetParam().text);
  EXPECT_EQ(reading.code, GetParam().code);
  EXPECT_NE(reading.fault.find(GetParam().path), std::string::npos) << reading.fault;
}

INSTANTIATE_TEST_SUITE_P(
    All, MalformedListTest,
    testing::Values(
        MalformedList{"{", ResultCode::MalformedJson, ""},
        MalformedList{"[]", ResultCode::InvalidValue, "$"},
        MalformedList{R"({"generation":1})", ResultCode::MissingField, "$.workers"},
        MalformedList{R"({"workers":{}})", ResultCode::InvalidValue, "$.workers"},
        MalformedList{R"({"workers":[{}]})", ResultCode::MissingField, "$.workers[0].id"},
        MalformedList{R"({"workers":[{"id":"a","address":"nowhere"}]})", ResultCode::InvalidAddress,
                      ""},
        MalformedList{
            R"({"workers":[{"id":"a","address":"1.2.3.4:5","zone":"z","service":"s","state":"odd"}]})",
            ResultCode::InvalidValue, "$.workers[0].state"},
        MalformedList{
            R"({"workers":[{"id":"a","address":"1.2.3.4:5","zone":"z","service":"s","state":"ready"},
                {"id":"a","address":"1.2.3.4:5","zone":"z","service":"s","state":"ready"}]})",
            ResultCode::InvalidValue, "$.workers[1].id"},
        MalformedList{
            R"({"workers":[{"id":"a","address":"1.2.3.4:5","zone":"z","service":"s","state":"ready","slots":-1}]})",
            ResultCode::InvalidValue, "$.workers[0].slots"}));

}  // namespace
}  // namespace switchsaddle::workers
