#include "switchsaddle/configuration/view.h"

#include <gtest/gtest.h>

#include "sample_document.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::configuration::test {
namespace {

TEST(ViewTest, ResolvesShapesAndBranches) {
  const View view = buildView(sampleDocument());
  EXPECT_EQ(view.version, 1);
  EXPECT_EQ(view.digest, sampleDocument().digest());
  EXPECT_EQ(view.tenants.at("editors").shape.first_token_ms, 500);
  EXPECT_EQ(view.tenants.at("jobs").shape.first_token_ms, 2'000);
  EXPECT_EQ(view.tenants.at("jobs").shape.maximum_tokens, 512);
  EXPECT_EQ(view.tenants.at("jobs").shape.stream_deadline_ms, 300'000);
  EXPECT_EQ(view.branches.at("root/editors/drafts").slots, 50);
  EXPECT_EQ(view.keys.at(sampleHash('a')).tenant, "editors");
  EXPECT_TRUE(view.operator_hashes.contains(sampleHash('b')));
  EXPECT_TRUE(view.evacuated_zones.contains("north"));
  EXPECT_EQ(view.tuning.route_explore_share, 0.25);
}

TEST(ViewTest, FindsRoutes) {
  const View view = buildView(sampleDocument());
  EXPECT_EQ(view.routeOfModel("llama-70b")->name, "large");
  EXPECT_EQ(view.routeOfModel("other"), nullptr);
  EXPECT_EQ(view.routeOfService("confirmations")->pool, "confirmations");
  EXPECT_EQ(view.routeOfService("completions"), nullptr);
}

TEST(ViewTest, RejectsFaultyDocuments) {
  EXPECT_THROW(buildView(sampleWith("tuning/none", "1")), base::Error);
}

TEST(ViewTest, EmptyDocumentHasAnEmptyView) {
  EXPECT_TRUE(buildView(Document{}).tenants.empty());
}

TEST(Sha256Test, MatchesKnownHashes) {
  EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(sha256Hex(""), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

}  // namespace
}  // namespace switchsaddle::configuration::test
