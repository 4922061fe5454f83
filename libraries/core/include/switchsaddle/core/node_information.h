#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/journal/state_view.h"
#include "switchsaddle/wire/register_messages.h"
#include "switchsaddle/worker_health/health_ranking.h"

namespace switchsaddle::core {

/** One singleton role as a node sees it. */
struct LeaseStatus {
  std::string name;
  bool held = false;
  /** The term held; zero where it is not held. */
  std::uint64_t term = 0;
};

/** What GET /v1/status tells of the answering node. */
struct NodeStatus {
  base::NodeAddress address;
  std::string zone;
  /** The instance of the data folder; zero until the store is open. */
  std::uint64_t instance = 0;
  /** Whether this node's acceptor may vote now. */
  bool may_vote = false;
  std::size_t register_count = 0;
  /** Why the store is new, or could not be opened; empty where it is sound. */
  std::string storage_fault;
  wire::AcceptorSet acceptor_set;
  std::vector<LeaseStatus> leases;
};

/** Gives the control API what the node knows of itself. Runs on the control strand. */
class NodeInformation {
 public:
  virtual ~NodeInformation() = default;
  virtual NodeStatus status() const = 0;
  virtual const journal::StateView& beliefs() const = 0;
  /** The workers' health as this node ranks it. */
  virtual const worker_health::HealthRanking& health() const = 0;
  /** The workers known here; never null. */
  virtual workers::WorkerSnapshotPtr fleet() const = 0;
  /** Requests that fronts have on a worker, as they told of late. */
  virtual std::uint32_t requestsOn(const std::string& worker) const = 0;
};

}  // namespace switchsaddle::core
