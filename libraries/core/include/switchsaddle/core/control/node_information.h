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

/** This node's view of the lease of one singleton role. */
struct LeaseStatus {
  std::string name;
  bool held = false;
  /** Term of the lease; zero if this node does not hold it. */
  std::uint64_t term = 0;
};

/** The state of the responding node that GET /v1/status reports. */
struct NodeStatus {
  base::NodeAddress address;
  std::string zone;
  /** Instance of the data folder; zero until the store is open. */
  std::uint64_t instance = 0;
  /** Whether this node's acceptor may vote at present. */
  bool may_vote = false;
  std::size_t register_count = 0;
  /** Why the store is new or could not be opened; empty if it is intact. */
  std::string storage_fault;
  wire::AcceptorSet acceptor_set;
  std::vector<LeaseStatus> leases;
};

/** The node's own state, for the control API. Runs on the control strand. */
class NodeInformation {
 public:
  virtual ~NodeInformation() = default;
  virtual NodeStatus status() const = 0;
  /** The latest journal entry of each subject and key. */
  virtual const journal::StateView& stateView() const = 0;
  /** This node's ranking of the workers' health. */
  virtual const worker_health::HealthRanking& health() const = 0;
  /** The workers in this node's view; never null. */
  virtual workers::WorkerSnapshotPtr fleet() const = 0;
  /** @return the requests in flight on a worker, as reported by the fronts. */
  virtual std::uint32_t requestsOn(const std::string& worker) const = 0;
};

}  // namespace switchsaddle::core
