#pragma once

#include <cstddef>
#include <memory>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::node_options {

enum class NodeRole : std::uint8_t { Front, Core };

/** Bounds on what others can make a process hold, by its listeners. */
struct NodeLimits {
  /** The listener for callers and operators. */
  http::ServerLimits callers;
  /** The listener for readiness checks only. */
  http::ServerLimits readiness;
  transport::TcpTransportOptions peers;
  /** What workers, and whoever else this node asks, can make it hold by their responses, beyond
   * ConnectionBytes of the callers that wait for them. */
  std::shared_ptr<base::ByteBudget> responses;
  /** Connections to workers that are kept while they are idle. */
  std::size_t idle_worker_connections = 0;
};

/**
 * Memory of a caller's connection and of the call to a worker on its behalf, besides what is
 * counted in a budget: bytes that have arrived and are not read yet, on either connection (up to
 * 32 KiB each), and one piece of the response on its way (16 KiB).
 */
inline constexpr std::size_t ConnectionBytes = 80U << 10U;
/** Memory of an idle connection to a worker: bytes that have arrived unasked. */
inline constexpr std::size_t IdleConnectionBytes = 32U << 10U;
/** Memory of a connection of another node, besides that of its unfinished frame. */
inline constexpr std::size_t PeerConnectionBytes = 16U << 10U;

/**
 * Derives the bounds from what the machine lends the process. All of them together leave a part of
 * its memory and descriptors for the node's own state, its files and the connections it opens.
 * @param descriptors what the process may open, its files included.
 */
NodeLimits nodeLimits(const configuration::ResourceSettings& resources, std::size_t descriptors,
                      NodeRole role);

}  // namespace switchsaddle::node_options
