#include "switchsaddle/routing/pool_registry.h"

#include <utility>

#include "pool_builder.h"

namespace switchsaddle::routing {

void PoolRegistry::setConfiguration(std::shared_ptr<const configuration::View> view) {
  view_ = std::move(view);
  records_.applyConfiguration(*view_);
  rebuildPools();
}

void PoolRegistry::setWorkers(workers::WorkerSnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  records_.applySnapshot(*snapshot_);
  if (view_) {
    records_.applyConfiguration(*view_);
  }
  rebuildPools();
}

ModelPool* PoolRegistry::find(const std::string& pool, const std::string& model) {
  const auto found = pools_.find(PoolKey{model, pool});
  return found == pools_.end() ? nullptr : &found->second;
}

void PoolRegistry::advanceEpoch(ModelPool& pool) const {
  ++pool.epoch;
  pool.epoch_start = context_.now();
}

std::uint64_t PoolRegistry::epochOf(const std::string& model) const {
  for (const auto& [key, pool] : pools_) {
    if (key.model == model) {
      return pool.epoch;
    }
  }
  return 0;
}

void PoolRegistry::rebuildPools() {
  if (!view_ || !snapshot_) {
    return;
  }
  for (const auto& [name, route] : view_->routes) {
    for (const std::string& model : route.models) {
      rebuildPool(route.pool, model);
    }
  }
  for (const auto& [name, pool] : view_->forwarding.pools) {
    for (const std::string& model : pool.models) {
      rebuildPool(name, model);
    }
  }
}

void PoolRegistry::rebuildPool(const std::string& pool_name, const std::string& model) {
  ModelPool& pool = pools_[PoolKey{model, pool_name}];
  pool.model = model;
  pool.pool = pool_name;
  const std::string topology_before = topologyOf(pool);
  PoolBuilder(pool).build(records_.all());
  pruneRetired(pool);
  if (topologyOf(pool) != topology_before) {
    advanceEpoch(pool);
  }
}

void PoolRegistry::pruneRetired(ModelPool& pool) const {
  const auto limit = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(context_.tuning.route_prune_after_s));
  const base::TimePoint now = context_.now();
  std::erase_if(pool.retired, [now, limit](const ArmPtr& arm) {
    return !arm->statistics.measured() || now - arm->statistics.measuredAt() > limit;
  });
}

}  // namespace switchsaddle::routing
