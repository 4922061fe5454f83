#include "switchsaddle/dissemination/configuration_replica.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"

namespace switchsaddle::dissemination {
namespace {

configuration::Document withRoute(const configuration::Document& document,
                                  const std::string& name) {
  configuration::Change change;
  change.base_version = document.version;
  change.set.push_back({"routes/" + name, R"({"models":["model-)" + name +
                                              R"("],"pool":"p","service":"completions"})"});
  return configuration::applyChange(document, change);
}

class ConfigurationReplicaTest : public testing::Test {
 protected:
  simulation::World world_{1};
  simulation::Process process_{world_};
  journal::Journal journal_{process_};
  ConfigurationReplica replica_{journal_};
  configuration::Document first_ = withRoute({}, "a");
  configuration::Document second_ = withRoute(first_, "b");
  configuration::Document third_ = withRoute(second_, "c");
};

TEST_F(ConfigurationReplicaTest, AppliesDeltasInTheOrderOfVersions) {
  EXPECT_EQ(replica_.apply(first_.deltaSince(0)), ApplyOutcome::Applied);
  EXPECT_EQ(replica_.apply(third_.deltaSince(2)), ApplyOutcome::Mismatch);
  EXPECT_EQ(replica_.version(), 1U);
  EXPECT_EQ(replica_.apply(third_.deltaSince(1)), ApplyOutcome::Applied);
  EXPECT_EQ(replica_.apply(second_.deltaSince(1)), ApplyOutcome::NotNewer);
  EXPECT_EQ(replica_.digest(), third_.digest());
  EXPECT_EQ(replica_.view()->version, 3U);
}

TEST_F(ConfigurationReplicaTest, RejectsADeltaWithAnotherDigest) {
  wire::ConfigurationDelta delta = first_.deltaSince(0);
  delta.entries.front().json = R"({"models":["other"],"pool":"p","service":"completions"})";
  EXPECT_EQ(replica_.apply(delta), ApplyOutcome::Mismatch);
  EXPECT_EQ(replica_.version(), 0U);
}

TEST_F(ConfigurationReplicaTest, AnInvalidConfigurationLeavesThePreviousOneInForce) {
  replica_.apply(first_.deltaSince(0));
  configuration::Change change;
  change.base_version = 1;
  change.set.push_back({"routes/broken", "5"});
  const configuration::Document broken = configuration::applyChange(first_, change);
  EXPECT_EQ(replica_.apply(broken.deltaSince(1)), ApplyOutcome::Rejected);
  EXPECT_EQ(replica_.version(), 1U);
  EXPECT_EQ(journal_.events().back().key, "refused");
}

TEST_F(ConfigurationReplicaTest, NotifiesListenersAndJournalsEntries) {
  std::vector<std::uint64_t> versions;
  replica_.addListener([&](const ViewPtr& view) {
    EXPECT_EQ(replica_.version(), view->version);
    versions.push_back(view->version);
  });
  replica_.apply(first_.deltaSince(0));
  replica_.apply(second_.deltaSince(1));
  EXPECT_EQ(versions, (std::vector<std::uint64_t>{1, 2}));
  std::vector<std::string> keys;
  for (const journal::Event& event : journal_.events()) {
    keys.push_back(event.key);
  }
  EXPECT_EQ(keys, (std::vector<std::string>{"routes/a", "version", "routes/b", "version"}));
}

}  // namespace
}  // namespace switchsaddle::dissemination
