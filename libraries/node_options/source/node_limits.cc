#include "switchsaddle/node_options/node_limits.h"

#include <algorithm>
#include <memory>

namespace switchsaddle::node_options {

namespace {

constexpr std::size_t BytesPerMebibyte = 1U << 20U;
/** Descriptors for the program's own files, as the users' platform sets them aside. */
constexpr std::size_t OwnDescriptors = 200;
constexpr std::size_t LeastSocketDescriptors = 64;
constexpr std::size_t LeastConnections = 16;

/** Shares of the descriptors that are left for sockets, in hundredths. */
struct DescriptorShares {
  std::size_t callers;
  std::size_t peers;
};

/** A front opens a connection to a worker for each of its callers. */
constexpr DescriptorShares FrontShares{.callers = 30, .peers = 12};
/** A core is connected to every node. */
constexpr DescriptorShares CoreShares{.callers = 15, .peers = 35};

/** Memory of a connection besides what is counted: its buffers, its state, bytes not yet read. */
constexpr std::size_t ConnectionBytes = 32U << 10U;
/** Room for one body as long as the limit allows, in both its copies, and its head. */
constexpr std::size_t LeastRequestBytes = 13 * BytesPerMebibyte;
constexpr std::size_t LeastFrameBytes = 8 * BytesPerMebibyte;
constexpr std::size_t LargestFrameBytes = 64 * BytesPerMebibyte;

constexpr std::size_t ReadinessConnections = 32;
constexpr std::size_t ReadinessBodyBytes = 64U << 10U;
constexpr std::size_t ReadinessMemoryBytes = BytesPerMebibyte;

http::ServerLimits callerLimits(std::size_t memory, std::size_t connections) {
  const std::size_t request_bytes = std::max(LeastRequestBytes, memory / 8 * 3);
  const std::size_t affordable_connections = memory / 7 / ConnectionBytes;
  http::ServerLimits limits;
  limits.memory = std::make_shared<base::ByteBudget>(request_bytes);
  limits.connections = std::max(LeastConnections, std::min(connections, affordable_connections));
  return limits;
}

http::ServerLimits readinessLimits() {
  http::ServerLimits limits;
  limits.body_bytes = ReadinessBodyBytes;
  limits.connections = ReadinessConnections;
  limits.memory = std::make_shared<base::ByteBudget>(ReadinessMemoryBytes);
  return limits;
}

transport::TcpTransportOptions peerLimits(std::size_t memory, std::size_t connections) {
  transport::TcpTransportOptions options;
  options.frame_bytes = std::clamp(memory / 8, LeastFrameBytes, LargestFrameBytes);
  // The buffer of a frame may grow to twice its size.
  options.receive_bytes = 2 * options.frame_bytes;
  options.queue_bytes = options.frame_bytes;
  options.incoming_connections = std::max(LeastConnections, connections);
  return options;
}

}  // namespace

NodeLimits nodeLimits(const configuration::ResourceSettings& resources, std::size_t descriptors,
                      NodeRole role) {
  const std::size_t memory = resources.memory_mb * BytesPerMebibyte;
  const std::size_t own = std::min(descriptors, OwnDescriptors);
  const std::size_t sockets = std::max(LeastSocketDescriptors, descriptors - own);
  const DescriptorShares& shares = role == NodeRole::Front ? FrontShares : CoreShares;
  NodeLimits limits;
  limits.callers = callerLimits(memory, sockets * shares.callers / 100);
  limits.readiness = readinessLimits();
  limits.peers = peerLimits(memory, sockets * shares.peers / 100);
  return limits;
}

}  // namespace switchsaddle::node_options
