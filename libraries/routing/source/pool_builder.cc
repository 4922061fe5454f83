#include <algorithm>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/routing/learned_router.h"

namespace switchsaddle::routing {

namespace {

bool serves(const WorkerRecord& record, const ModelPool& pool) {
  const wire::WorkerEntry& entry = record.worker.entry;
  const bool in_pool = entry.service == pool.pool;
  return in_pool &&
         std::find(entry.models.begin(), entry.models.end(), pool.model) != entry.models.end();
}

}  // namespace

void LearnedRouter::setConfiguration(std::shared_ptr<const configuration::View> view) {
  view_ = std::move(view);
  tuning_ = view_->tuning;
  updateColdLimits();
  rebuildPools();
}

void LearnedRouter::setWorkers(workers::WorkerSnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  updateWorkerRecords();
  rebuildPools();
}

void LearnedRouter::setFronts(const std::vector<base::NodeAddress>& fronts) {
  slow_start_limiter_.setFronts(self_, fronts);
  fronts_ = std::max<std::size_t>(1, fronts.size());
}

void LearnedRouter::updateWorkerRecords() {
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [id, worker] : snapshot_->workers) {
    WorkerRecordPtr& record = workers_[id];
    const bool same_instance = record && record->worker.entry.instance == worker.entry.instance;
    if (!same_instance) {
      record = std::make_shared<WorkerRecord>();
      record->number = freeNumber();
      record->hash = base::hashBytes(id);
      record->load_key = workers::loadKey(worker.entry);
      record->cold.instance = base::combineHashes(record->hash, worker.entry.instance);
      record->cold.first_seen = now;
      record->cold.present_at_start = !first_list_taken_;
    }
    record->worker = worker;
    record->cold.listed_warming_up = worker.entry.cold;
    record->slots = std::max(1U, worker.entry.slots);
  }
  std::erase_if(workers_,
                [this](const auto& item) { return !snapshot_->workers.contains(item.first); });
  first_list_taken_ = first_list_taken_ || !snapshot_->workers.empty();
  updateColdLimits();
}

void LearnedRouter::updateColdLimits() {
  if (!view_) {
    return;
  }
  for (const auto& [id, record] : workers_) {
    const configuration::ForwardPool* pool =
        view_->forwarding.findPool(record->worker.entry.service);
    record->cold.bearable_per_s = pool == nullptr ? 0 : pool->slow_start_per_s;
    const bool evacuated = !view_->allowsWorker(record->worker.entry);
    if (record->evacuated && !evacuated && pool != nullptr) {
      // A worker that was empty may come back cold, which the list tells later.
      record->cold.warming_up_until =
          dispatcher_.now() + std::chrono::milliseconds(pool->slow_start_ms);
    }
    record->evacuated = evacuated;
  }
}

/** Numbers are used again only after all others, when no chain is remembered under them. */
WorkerNumber LearnedRouter::freeNumber() {
  const auto taken = [this](WorkerNumber number) {
    return std::any_of(workers_.begin(), workers_.end(), [number](const auto& item) {
      return item.second && item.second->number == number;
    });
  };
  while (next_number_ == NoWorker || (numbers_reused_ && taken(next_number_))) {
    numbers_reused_ = true;
    ++next_number_;
  }
  return next_number_++;
}

void LearnedRouter::rebuildPools() {
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

void LearnedRouter::rebuildPool(const std::string& pool_name, const std::string& model) {
  ModelPool& pool = pools_[PoolKey{model, pool_name}];
  pool.model = model;
  pool.pool = pool_name;
  buildPool(pool);
}

void LearnedRouter::buildPool(ModelPool& pool) {
  const std::string topology_before = topologyOf(pool);
  std::map<std::string, ArmPtr> former;
  for (const ArmPtr& arm : pool.arms) {
    former[arm->signature] = arm;
  }
  for (const ArmPtr& arm : pool.retired) {
    former.emplace(arm->signature, arm);
  }
  pool.arms.clear();
  std::vector<WorkerRecordPtr> prefill_workers;
  std::vector<WorkerRecordPtr> decode_workers;
  for (const auto& [id, record] : workers_) {
    if (!record->usable() || !serves(*record, pool)) {
      continue;
    }
    switch (record->worker.entry.stage) {
      case wire::WorkerStage::Both:
        addArm(pool, former, record, nullptr);
        break;
      case wire::WorkerStage::Prefill:
        prefill_workers.push_back(record);
        break;
      case wire::WorkerStage::Decode:
        decode_workers.push_back(record);
        break;
    }
  }
  for (const WorkerRecordPtr& prefill : prefill_workers) {
    for (const WorkerRecordPtr& decode : decode_workers) {
      addArm(pool, former, prefill, decode);
    }
  }
  rankArms(pool);
  pool.index.rebuild(pool.arms);
  pool.scouts.clear();
  pool.scouts_epoch = 0;
  pool.retired.clear();
  for (auto& [signature, arm] : former) {
    pool.retired.push_back(std::move(arm));
  }
  pruneRetired(pool);
  if (topologyOf(pool) != topology_before) {
    bumpEpoch(pool);
  }
}

void LearnedRouter::rankArms(ModelPool& pool) {
  // By hash, so that all fronts agree, and zones are spread over the lanes.
  std::vector<Arm*> ranked;
  ranked.reserve(pool.arms.size());
  for (const ArmPtr& arm : pool.arms) {
    ranked.push_back(arm.get());
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Arm* first, const Arm* second) { return first->hash < second->hash; });
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    ranked[rank]->rank = rank;
  }
}

void LearnedRouter::addArm(ModelPool& pool, std::map<std::string, ArmPtr>& former,
                           const WorkerRecordPtr& prefill, const WorkerRecordPtr& decode) {
  std::string signature = prefill->worker.entry.id;
  if (decode) {
    signature += ">" + decode->worker.entry.id;
  }
  const auto known = former.find(signature);
  ArmPtr arm;
  if (known != former.end()) {
    arm = known->second;
    former.erase(known);
  } else {
    arm = std::make_shared<Arm>();
    arm->signature = signature;
    arm->hash = base::hashBytes(signature);
  }
  const bool other_instance = arm->prefill != prefill || arm->decode != decode;
  if (arm->prefill != nullptr && other_instance) {
    arm->statistics.startInstance();
  }
  arm->prefill = prefill;
  arm->decode = decode;
  pool.arms.push_back(std::move(arm));
}

std::string LearnedRouter::topologyOf(const ModelPool& pool) const {
  std::string topology;
  for (const ArmPtr& arm : pool.arms) {
    const wire::WorkerEntry& entry = arm->prefill->worker.entry;
    topology += arm->signature + "/" + std::to_string(entry.instance) + "/" + entry.weights_version;
    if (arm->decode) {
      const wire::WorkerEntry& decode = arm->decode->worker.entry;
      topology += "/" + std::to_string(decode.instance) + "/" + decode.weights_version;
    }
    topology += ";";
  }
  return topology;
}

void LearnedRouter::bumpEpoch(ModelPool& pool) {
  ++pool.epoch;
  pool.epoch_start = dispatcher_.now();
}

void LearnedRouter::pruneRetired(ModelPool& pool) {
  const auto limit = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(tuning_.route_prune_after_s));
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(pool.retired, [now, limit](const ArmPtr& arm) {
    return !arm->statistics.measured() || now - arm->statistics.measuredAt() > limit;
  });
}

}  // namespace switchsaddle::routing
