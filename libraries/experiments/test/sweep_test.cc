#include "switchsaddle/experiments/sweep.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::experiments {
namespace {

/** Measures the sum of parameter `a` and the seed, and a constant. */
class SumExperiment : public Experiment {
 public:
  std::string name() const override { return "sum"; }
  std::vector<Setting> defaults() const override { return {{"a", "1"}, {"b", "x"}}; }
  std::string plottedMeasure() const override { return "sum"; }
  std::vector<Measure> run(const Settings& settings, std::uint64_t seed) const override {
    return {{"sum", settings.number("a") + static_cast<double>(seed)}, {"one", 1}};
  }
};

std::vector<Row> runRows(const std::vector<std::string>& parameters, std::uint64_t seeds) {
  Sweep sweep;
  sweep.seeds = seeds;
  for (const std::string& parameter : parameters) {
    sweep.ranges.push_back(parseRange(parameter));
  }
  return runSweep(SumExperiment{}, sweep, [](const Row&) {});
}

TEST(SweepTest, RunsEveryCombinationOverEverySeed) {
  const std::vector<Row> rows = runRows({"a=1,10", "b=x,y"}, 2);
  ASSERT_EQ(rows.size(), 8U);
  EXPECT_EQ(rows[1].measures[0].value, 3);
  EXPECT_EQ(rows[7].measures[0].value, 12);
  EXPECT_EQ(rows[7].varied[1].value, "y");
}

TEST(SweepTest, SummarizesOverTheSeedsOfACombination) {
  const std::vector<Summary> summaries = summarize(runRows({"a=1,10"}, 3), "sum");
  ASSERT_EQ(summaries.size(), 2U);
  EXPECT_DOUBLE_EQ(summaries[0].mean, 3);
  EXPECT_DOUBLE_EQ(summaries[0].least, 2);
  EXPECT_DOUBLE_EQ(summaries[1].most, 13);
}

TEST(SweepTest, WritesOneLineForEachRun) {
  EXPECT_EQ(formatCsv(runRows({"a=1,2"}, 1)), "a,seed,sum,one\n1,1,2,1\n2,1,3,1\n");
}

TEST(SweepTest, RejectsUnknownNamesAndMalformedRanges) {
  EXPECT_THROW(runRows({"c=1"}, 1), base::Error);
  EXPECT_THROW(runRows({"a=one"}, 1), base::Error);
  EXPECT_THROW(parseRange("a"), base::Error);
  EXPECT_THROW(parseRange("a="), base::Error);
  EXPECT_THROW(summarize(runRows({}, 1), "none"), base::Error);
}

}  // namespace
}  // namespace switchsaddle::experiments
