#include "switchsaddle/node_options/node_limits.h"

#include <gtest/gtest.h>

namespace switchsaddle::node_options {
namespace {

constexpr std::size_t BytesPerMebibyte = 1U << 20U;
/** The files that a process keeps open itself, as the users' platform sets them aside. */
constexpr std::size_t OwnFiles = 200;

configuration::ResourceSettings machine(std::uint32_t memory_mb) {
  configuration::ResourceSettings resources;
  resources.memory_mb = memory_mb;
  return resources;
}

/** All that callers, workers and other nodes can make the process hold at the same time. */
std::size_t memoryOfOthers(const NodeLimits& limits) {
  const std::size_t connections = limits.callers.connections + limits.readiness.connections;
  const std::size_t waiting =
      limits.callers.waiting_connections + limits.readiness.waiting_connections;
  return limits.callers.memory->limit() + limits.readiness.memory->limit() +
         connections * ConnectionBytes + waiting * http::ReceiveBufferBytes +
         limits.responses->limit() + limits.peers.receive_bytes + limits.peers.send_bytes +
         limits.peers.incoming_connections * PeerConnectionBytes +
         limits.idle_worker_connections * IdleConnectionBytes;
}

class NodeLimitsTest : public testing::TestWithParam<NodeRole> {};

TEST_P(NodeLimitsTest, LeaveAFifthOfTheMemoryToTheNodeItself) {
  for (const std::uint32_t memory_mb : {64U, 160U, 256U, 260U, 1'024U, 16'384U}) {
    const NodeLimits limits = nodeLimits(machine(memory_mb), 4'096, GetParam());
    EXPECT_LE(memoryOfOthers(limits), memory_mb * BytesPerMebibyte / 5 * 4) << memory_mb;
  }
}

TEST_P(NodeLimitsTest, LeaveDescriptorsForFilesAndOutgoingConnections) {
  for (const std::size_t descriptors : {400U, 1'024U, 4'096U, 20'000U}) {
    const NodeLimits limits = nodeLimits(machine(16'384), descriptors, GetParam());
    // Each request may open a connection to a worker.
    const std::size_t of_requests = 2 * limits.callers.connections +
                                    limits.idle_worker_connections + limits.readiness.connections;
    EXPECT_LE(of_requests + limits.peers.incoming_connections + OwnFiles, descriptors)
        << descriptors;
  }
}

TEST_P(NodeLimitsTest, AFrameAsLongAsTheLimitHasRoom) {
  for (const std::uint32_t memory_mb : {16U, 64U, 160U, 260U, 16'384U}) {
    const transport::TcpTransportOptions peers =
        nodeLimits(machine(memory_mb), 4'096, GetParam()).peers;
    EXPECT_GE(peers.receive_bytes, transport::frameBufferBytes(peers.frame_bytes)) << memory_mb;
    EXPECT_GE(peers.send_bytes, transport::leastSendBytes(peers.frame_bytes)) << memory_mb;
  }
}

TEST_P(NodeLimitsTest, ASmallMachineStillTakesTheLargestRequest) {
  const NodeLimits limits = nodeLimits(machine(16), 64, GetParam());
  EXPECT_GE(limits.callers.memory->limitOfLargeHolders(), 2 * limits.callers.body_bytes);
  EXPECT_GE(limits.responses->limitOfLargeHolders(), limits.callers.body_bytes);
  EXPECT_GE(limits.callers.connections, 16U);
}

INSTANTIATE_TEST_SUITE_P(Roles, NodeLimitsTest, testing::Values(NodeRole::Front, NodeRole::Core));

}  // namespace
}  // namespace switchsaddle::node_options
