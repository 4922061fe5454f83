#include "switchsaddle/routing/peer_load.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Worker = 5;
const base::TimePoint Start{std::chrono::seconds(100)};

TEST(PeerLoadTest, AssumesThatPrefillProgressedSinceTheReport) {
  PeerLoad peers;
  EXPECT_FALSE(peers.known(Start));
  peers.set({true, {{Worker, 4, 300}}, {}}, Start);
  EXPECT_DOUBLE_EQ(peers.of(Worker, Start).prefill_s, 0.3);
  EXPECT_NEAR(peers.of(Worker, Start + milliseconds(100)).prefill_s, 0.2, 1e-9);
  EXPECT_DOUBLE_EQ(peers.of(Worker, Start + milliseconds(400)).prefill_s, 0);
  EXPECT_DOUBLE_EQ(peers.of(Worker, Start + milliseconds(400)).requests, 4);
  EXPECT_DOUBLE_EQ(peers.of(Worker + 1, Start).requests, 0);
}

TEST(PeerLoadTest, AWorkerThatIsNotListedHasTheMeanOfTheRest) {
  PeerLoad peers;
  peers.set({true, {{Worker, 4, 400}}, {}, 1.5, 100}, Start);
  EXPECT_EQ(peers.of(Worker, Start).requests, 4);
  EXPECT_EQ(peers.of(Worker + 1, Start).requests, 1.5);
  EXPECT_NEAR(peers.of(Worker + 1, Start).prefill_s, 0.1, 1e-6);
}

TEST(PeerLoadTest, AReportExpiresAfterItsLifetime) {
  PeerLoad peers;
  peers.set({true, {{Worker, 4, 3'000}}, {}}, Start);
  const base::TimePoint later = Start + PeerLoad::Lifetime;
  EXPECT_FALSE(peers.known(later));
  EXPECT_DOUBLE_EQ(peers.of(Worker, later).requests, 0);
}

TEST(PeerLoadTest, IgnoresAReportOfACoreThatDoesNotKnowTheLoads) {
  PeerLoad peers;
  peers.set({true, {{Worker, 4, 300}}, {}}, Start);
  peers.set({false, {}, {}}, Start);
  EXPECT_DOUBLE_EQ(peers.of(Worker, Start).requests, 4);
}

}  // namespace
}  // namespace switchsaddle::routing
