#pragma once

#include <cstddef>

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::node_options {

enum class NodeRole : std::uint8_t { Front, Core };

/** Bounds on what peers can make a process hold, by its listeners. */
struct NodeLimits {
  /** The listener for callers and operators. */
  http::ServerLimits callers;
  /** The listener for readiness checks only. */
  http::ServerLimits readiness;
  transport::TcpTransportOptions peers;
};

/**
 * Derives the bounds from what the machine lends the process. All of them together leave a part of
 * its memory and descriptors for the node's own state, its files and the connections it opens.
 * @param descriptors what the process may open, its files included.
 */
NodeLimits nodeLimits(const configuration::ResourceSettings& resources, std::size_t descriptors,
                      NodeRole role);

}  // namespace switchsaddle::node_options
