#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "switchsaddle/routing/model_pool.h"
#include "switchsaddle/routing/router_context.h"
#include "switchsaddle/routing/worker_records.h"

namespace switchsaddle::routing {

/**
 * The model pools of one router, built from the configuration and the worker snapshot. A pool
 * starts a new epoch when a worker joins, leaves, or changes its stage or weights. Invariant: a
 * pool is never removed, so that pointers to it remain valid. Runs on the control strand.
 */
class PoolRegistry {
 public:
  /** @param context must outlive this object. */
  explicit PoolRegistry(const RouterContext& context)
      : context_(context), records_(context.dispatcher) {}

  void setConfiguration(std::shared_ptr<const configuration::View> view);
  void setWorkers(workers::WorkerSnapshotPtr snapshot);
  /** @return the pool that serves the model, or null. */
  ModelPool* find(const std::string& pool, const std::string& model);
  /** Starts a new epoch, so that earlier scores become stale. */
  void advanceEpoch(ModelPool& pool) const;
  /** @return the epoch of the first pool that serves the model; zero if there is none. */
  std::uint64_t epochOf(const std::string& model) const;
  ModelPools& pools() { return pools_; }
  const ModelPools& pools() const { return pools_; }
  const WorkerRecords& records() const { return records_; }

 private:
  void rebuildPools();
  void rebuildPool(const std::string& pool_name, const std::string& model);
  void pruneRetired(ModelPool& pool) const;

  const RouterContext& context_;
  std::shared_ptr<const configuration::View> view_;
  workers::WorkerSnapshotPtr snapshot_;
  WorkerRecords records_;
  ModelPools pools_;
};

}  // namespace switchsaddle::routing
