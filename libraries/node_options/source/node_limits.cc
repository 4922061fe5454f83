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
constexpr DescriptorShares FrontShares{.callers = 28, .peers = 12};
/** A core is connected to every node. */
constexpr DescriptorShares CoreShares{.callers = 15, .peers = 35};

/** Shares of the memory for what others make the process hold, in hundredths. The rest is left for
 * the node's own state. */
struct MemoryShares {
  std::size_t requests = 20;
  std::size_t responses = 10;
  std::size_t caller_connections = 15;
  std::size_t waiting_connections = 4;
  std::size_t peer_frames = 10;
  std::size_t peer_connections = 4;
};

constexpr MemoryShares Shares;
/** Room for one body as long as the limit allows, in both its copies, and its head. */
constexpr std::size_t LeastRequestBytes = 13 * BytesPerMebibyte;
/** Room for one response as long as a request's body may be. */
constexpr std::size_t LeastResponseBytes = 6 * BytesPerMebibyte;
constexpr std::size_t LeastFrameBytes = 3 * BytesPerMebibyte;
constexpr std::size_t LargestFrameBytes = 64 * BytesPerMebibyte;

/** Beyond it a process that gets no processor time would only answer too late. */
constexpr std::size_t MostWaitingConnections = 1'024;

constexpr std::size_t ReadinessConnections = 32;
constexpr std::size_t ReadinessBodyBytes = 64U << 10U;
constexpr std::size_t ReadinessMemoryBytes = BytesPerMebibyte;

std::size_t shareOf(std::size_t memory, std::size_t hundredths) {
  return memory / 100 * hundredths;
}

http::ServerLimits callerLimits(std::size_t memory, std::size_t connections) {
  const std::size_t request_bytes = std::max(LeastRequestBytes, shareOf(memory, Shares.requests));
  const std::size_t affordable_connections =
      shareOf(memory, Shares.caller_connections) / ConnectionBytes;
  http::ServerLimits limits;
  limits.memory = std::make_shared<base::ByteBudget>(request_bytes);
  limits.connections = std::max(LeastConnections, std::min(connections, affordable_connections));
  limits.waiting_connections =
      std::clamp(shareOf(memory, Shares.waiting_connections) / http::ReceiveBufferBytes,
                 LeastConnections, MostWaitingConnections);
  return limits;
}

http::ServerLimits readinessLimits() {
  http::ServerLimits limits;
  limits.body_bytes = ReadinessBodyBytes;
  limits.connections = ReadinessConnections;
  limits.waiting_connections = ReadinessConnections / 2;
  limits.memory = std::make_shared<base::ByteBudget>(ReadinessMemoryBytes);
  return limits;
}

transport::TcpTransportOptions peerLimits(std::size_t memory, std::size_t connections) {
  transport::TcpTransportOptions options;
  const std::size_t receive_bytes = shareOf(memory, Shares.peer_frames);
  const std::size_t affordable_connections =
      shareOf(memory, Shares.peer_connections) / PeerConnectionBytes;
  options.frame_bytes = std::clamp(receive_bytes / 2, LeastFrameBytes, LargestFrameBytes);
  options.receive_bytes = std::max(receive_bytes, transport::frameBufferBytes(options.frame_bytes));
  options.queue_bytes = options.frame_bytes;
  options.send_bytes = transport::leastSendBytes(options.frame_bytes);
  options.incoming_connections =
      std::max(LeastConnections, std::min(connections, affordable_connections));
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
  limits.idle_worker_connections = limits.callers.connections / 2;
  limits.responses = std::make_shared<base::ByteBudget>(
      std::max(LeastResponseBytes, shareOf(memory, Shares.responses)));
  return limits;
}

}  // namespace switchsaddle::node_options
