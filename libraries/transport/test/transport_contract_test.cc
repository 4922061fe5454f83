#include <gtest/gtest.h>

#include <algorithm>

#include "recording_receiver.h"
#include "transport_harness.h"

namespace switchsaddle::transport {
namespace {

/** Contract of all implementations of Transport. */
template <class Harness>
class TransportContract : public testing::Test {
 protected:
  Harness harness;
  RecordingReceiver first_receiver;
  RecordingReceiver second_receiver;
};

using Harnesses = testing::Types<SimulatedHarness, TcpHarness>;
TYPED_TEST_SUITE(TransportContract, Harnesses);

TYPED_TEST(TransportContract, DeliversEachEnvelopeOnceAndUnaltered) {
  constexpr std::uint64_t Count = 1000;
  Transport& first = this->harness.start(1);
  Transport& second = this->harness.start(2);
  second.setReceiver(&this->second_receiver);
  for (std::uint64_t number = 0; number < Count; ++number) {
    first.send(second.localAddress(), numbered(first, number, std::string(number, 'x')));
  }
  std::vector<wire::Envelope>& received = this->second_receiver.envelopes;
  ASSERT_TRUE(this->harness.runUntil([&] { return received.size() >= Count; }));
  // After the last envelope a duplicate would have arrived as well.
  first.send(second.localAddress(), numbered(first, Count, std::string(Count, 'x')));
  ASSERT_TRUE(this->harness.runUntil([&] { return received.size() > Count; }));
  if (!TypeParam::KeepsOrder) {
    std::sort(received.begin(), received.end(), [](const auto& left, const auto& right) {
      return left.request_id < right.request_id;
    });
  }
  ASSERT_EQ(received.size(), Count + 1);
  for (std::uint64_t number = 0; number <= Count; ++number) {
    EXPECT_EQ(received[number].request_id, number);
    EXPECT_EQ(received[number].sender, first.localAddress());
    EXPECT_EQ(std::get<wire::AcceptRequest>(received[number].message).value.size(), number);
  }
}

TYPED_TEST(TransportContract, DeliversLargeAndSmallEnvelopes) {
  constexpr std::size_t LargeBytes = 20U << 20U;
  Transport& first = this->harness.start(1);
  Transport& second = this->harness.start(2);
  second.setReceiver(&this->second_receiver);
  first.send(second.localAddress(), numbered(first, 1));
  first.send(second.localAddress(), numbered(first, 2, std::string(LargeBytes, 'x')));
  first.send(second.localAddress(), numbered(first, 3));
  std::vector<wire::Envelope>& received = this->second_receiver.envelopes;
  ASSERT_TRUE(this->harness.runUntil([&] { return received.size() == 3; }));
  std::size_t bytes = 0;
  for (const wire::Envelope& envelope : received) {
    bytes += std::get<wire::AcceptRequest>(envelope.message).value.size();
  }
  EXPECT_EQ(bytes, LargeBytes);
}

TYPED_TEST(TransportContract, SendsOneEnvelopeToEachOfSeveralPeers) {
  Transport& first = this->harness.start(1);
  Transport& second = this->harness.start(2);
  Transport& third = this->harness.start(3);
  second.setReceiver(&this->first_receiver);
  third.setReceiver(&this->second_receiver);
  first.sendToAll({second.localAddress(), third.localAddress()}, numbered(first, 7, "bytes"));
  ASSERT_TRUE(this->harness.runUntil([&] {
    return this->first_receiver.envelopes.size() == 1 &&
           this->second_receiver.envelopes.size() == 1;
  }));
  EXPECT_EQ(this->first_receiver.envelopes[0].request_id, 7U);
  EXPECT_EQ(this->second_receiver.envelopes[0].sender, first.localAddress());
}

TYPED_TEST(TransportContract, ReportsARefusedConnection) {
  Transport& first = this->harness.start(1);
  first.setReceiver(&this->first_receiver);
  const base::NodeAddress refusing_address = this->harness.address(99);
  first.send(refusing_address, numbered(first, 1));
  std::vector<base::NodeAddress>& refused = this->first_receiver.refused;
  ASSERT_TRUE(this->harness.runUntil([&] { return !refused.empty(); }));
  first.send(refusing_address, numbered(first, 2));
  ASSERT_TRUE(this->harness.runUntil([&] { return refused.size() == 2; }));
  EXPECT_EQ(refused[0], refusing_address);
  EXPECT_EQ(refused[1], refusing_address);
}

TYPED_TEST(TransportContract, ReportsExactlyTheRefusedEnvelopes) {
  Transport& first = this->harness.start(1);
  first.setReceiver(&this->first_receiver);
  const base::NodeAddress refusing_address = this->harness.address(99);
  std::vector<std::uint64_t>& refused = this->first_receiver.refused_ids;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    first.send(refusing_address, numbered(first, number));
  }
  ASSERT_TRUE(this->harness.runUntil([&] { return refused.size() >= 3; }));
  std::sort(refused.begin(), refused.end());
  EXPECT_EQ(refused, (std::vector<std::uint64_t>{1, 2, 3}));
  refused.clear();
  first.send(refusing_address, numbered(first, 4));
  ASSERT_TRUE(this->harness.runUntil([&] { return !refused.empty(); }));
  EXPECT_EQ(refused, std::vector<std::uint64_t>{4});
}

TYPED_TEST(TransportContract, ReconnectsToARestartedPeer) {
  Transport& first = this->harness.start(1);
  first.setReceiver(&this->first_receiver);
  this->harness.start(2).setReceiver(&this->second_receiver);
  const base::NodeAddress peer = this->harness.address(2);
  std::vector<wire::Envelope>& received = this->second_receiver.envelopes;
  first.send(peer, numbered(first, 1));
  ASSERT_TRUE(this->harness.runUntil([&] { return received.size() == 1; }));
  this->harness.stop(2);
  std::uint64_t number = 1;
  ASSERT_TRUE(this->harness.runUntil([&] {
    first.send(peer, numbered(first, ++number));
    return !this->first_receiver.refused.empty();
  }));
  RecordingReceiver restarted;
  this->harness.start(2).setReceiver(&restarted);
  ASSERT_TRUE(this->harness.runUntil([&] {
    first.send(peer, numbered(first, ++number));
    return !restarted.envelopes.empty();
  }));
  EXPECT_EQ(received.size(), 1U);
}

TYPED_TEST(TransportContract, DoesNotCallARemovedReceiver) {
  Transport& first = this->harness.start(1);
  Transport& second = this->harness.start(2);
  second.setReceiver(&this->second_receiver);
  first.send(second.localAddress(), numbered(first, 1));
  second.setReceiver(nullptr);
  first.setReceiver(&this->first_receiver);
  second.send(first.localAddress(), numbered(second, 1));
  ASSERT_TRUE(this->harness.runUntil([&] { return !this->first_receiver.envelopes.empty(); }));
  EXPECT_TRUE(this->second_receiver.envelopes.empty());
}

}  // namespace
}  // namespace switchsaddle::transport
