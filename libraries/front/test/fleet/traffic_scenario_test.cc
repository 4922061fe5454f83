#include "fleet/traffic_scenario.h"

#include <iostream>

namespace switchsaddle::front {
namespace {

constexpr std::uint64_t Seeds = 100;
/** Seeds whose sums must show the situations that the scenario checks. */
constexpr std::uint64_t CoverageSeeds = 20;
/** Seeds within which a disabled mechanism must be detected. */
constexpr std::uint64_t SeedsWithMechanismDisabled = 100;

class TrafficSeeds : public testing::TestWithParam<std::uint64_t> {};

TEST_P(TrafficSeeds, KeepsAllInvariantsUnderFailures) {
  const TrafficResult result = TrafficScenario(GetParam(), {}).run();
  for (const std::string& violation : result.violations) {
    ADD_FAILURE() << violation;
  }
  // In 2 of 1,000 seeds no caller gets the outcome "ran"; the sums of many seeds show that most do.
  EXPECT_GT(result.one_shots_ran + result.one_shots_unknown, 0);
  EXPECT_GT(result.streams_done, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TrafficSeeds, testing::Range<std::uint64_t>(1, Seeds + 1));

TEST(TrafficCoverage, SeedsReachTheCheckedSituations) {
  TrafficResult sum;
  int revocations = 0;
  int evacuations = 0;
  for (std::uint64_t seed = 1; seed <= CoverageSeeds; ++seed) {
    const TrafficResult result = TrafficScenario(seed, {}).run();
    sum.one_shots_ran += result.one_shots_ran;
    sum.one_shots_not_run += result.one_shots_not_run;
    sum.one_shots_unknown += result.one_shots_unknown;
    sum.streams_done += result.streams_done;
    sum.streams_broken += result.streams_broken;
    sum.retries += result.retries;
    revocations += result.revocation_acknowledged ? 1 : 0;
    evacuations += result.evacuation_acknowledged ? 1 : 0;
  }
  std::cout << "one-shots ran " << sum.one_shots_ran << ", not run " << sum.one_shots_not_run
            << ", unknown " << sum.one_shots_unknown << "; streams done " << sum.streams_done
            << ", broken " << sum.streams_broken << "; retries " << sum.retries
            << "; acknowledged revocations " << revocations << ", evacuations " << evacuations
            << " of " << CoverageSeeds << "\n";
  EXPECT_GT(sum.one_shots_ran, 10 * static_cast<int>(CoverageSeeds));
  // At least one for each seed, on average.
  EXPECT_GT(sum.one_shots_not_run, static_cast<int>(CoverageSeeds));
  EXPECT_GT(sum.one_shots_unknown, static_cast<int>(CoverageSeeds));
  EXPECT_GT(sum.streams_broken, static_cast<int>(CoverageSeeds));
  EXPECT_GT(sum.retries, CoverageSeeds);
  EXPECT_GT(revocations, static_cast<int>(CoverageSeeds / 2));
  EXPECT_GT(evacuations, static_cast<int>(CoverageSeeds / 2));
}

/** A disabled mechanism, and the invariant that is violated without it. */
struct DisabledMechanism {
  const char* name;
  TrafficOptions options;
  const char* rule;
};

std::ostream& operator<<(std::ostream& out, const DisabledMechanism& run) {
  return out << run.name;
}

std::vector<DisabledMechanism> disabledMechanisms() {
  DisabledMechanism claims{"ClaimsOff", {}, "ran-twice"};
  claims.options.claims = false;
  DisabledMechanism session{"SessionCheckOff", {}, "ran-for-revoked-key"};
  session.options.session_check = false;
  DisabledMechanism session_zone{"SessionCheckOffZone", {}, "sent-to-evacuated-zone"};
  session_zone.options.session_check = false;
  DisabledMechanism lost{"LostTreatedAsNotSent", {}, "ran-twice"};
  lost.options.lost_is_unknown = false;
  DisabledMechanism gap{"SequenceCheckOffGap", {}, "piece-order"};
  gap.options.sequence_check = false;
  DisabledMechanism joined{"SequenceCheckOffJoinedRuns", {}, "run-changed"};
  joined.options.sequence_check = false;
  DisabledMechanism early{"SequenceCheckOffEarlyEnd", {}, "early-end"};
  early.options.sequence_check = false;
  DisabledMechanism retries{"RetryBudgetWide", {}, "too-many-retries"};
  retries.options.retry_share = 0.5;
  retries.options.faults.not_run = 0.4;
  return {claims, session, session_zone, lost, gap, joined, early, retries};
}

class TrafficMechanisms : public testing::TestWithParam<DisabledMechanism> {};

TEST_P(TrafficMechanisms, DetectsADisabledMechanism) {
  std::uint64_t found_at = 0;
  for (std::uint64_t seed = 1; seed <= SeedsWithMechanismDisabled && found_at == 0; ++seed) {
    const TrafficResult result = TrafficScenario(seed, GetParam().options).run();
    found_at = result.found(GetParam().rule) ? seed : 0;
  }
  EXPECT_GT(found_at, 0U) << "no seed violated " << GetParam().rule;
  std::cout << GetParam().rule << " found at seed " << found_at << "\n";
}

INSTANTIATE_TEST_SUITE_P(Mechanisms, TrafficMechanisms, testing::ValuesIn(disabledMechanisms()),
                         [](const testing::TestParamInfo<DisabledMechanism>& run) {
                           return std::string(run.param.name);
                         });

TEST(TrafficRetryBudget, RetriesStayWithinTheBudgetWhenManyWorkersReject) {
  TrafficOptions options;
  options.faults.not_run = 0.4;
  std::size_t retries = 0;
  for (std::uint64_t seed = 1; seed <= CoverageSeeds; ++seed) {
    const TrafficResult result = TrafficScenario(seed, options).run();
    for (const std::string& violation : result.violations) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    retries += result.retries;
  }
  EXPECT_GT(retries, CoverageSeeds);
}

}  // namespace
}  // namespace switchsaddle::front
