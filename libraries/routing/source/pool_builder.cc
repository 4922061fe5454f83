#include "pool_builder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

void PoolBuilder::build(const WorkerRecords::Records& records) {
  collectFormerArms();
  buildArms(records);
  rankArms();
  pool_.index.rebuild(pool_.arms);
  pool_.scouts.arms.clear();
  pool_.scouts.epoch = 0;
  retireFormerArms();
}

void PoolBuilder::collectFormerArms() {
  for (const ArmPtr& arm : pool_.arms) {
    former_[arm->signature] = arm;
  }
  for (const ArmPtr& arm : pool_.retired) {
    former_.emplace(arm->signature, arm);
  }
  pool_.arms.clear();
  pool_.retired.clear();
}

void PoolBuilder::buildArms(const WorkerRecords::Records& records) {
  std::vector<WorkerRecordPtr> prefill_workers;
  std::vector<WorkerRecordPtr> decode_workers;
  for (const auto& [id, record] : records) {
    if (!record->usable() || !serves(*record)) {
      continue;
    }
    switch (record->worker.entry.stage) {
      case wire::WorkerStage::Both:
        addArm(record, nullptr);
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
      addArm(prefill, decode);
    }
  }
}

bool PoolBuilder::serves(const WorkerRecord& record) const {
  const wire::WorkerEntry& entry = record.worker.entry;
  return entry.service == pool_.pool && std::ranges::count(entry.models, pool_.model) > 0;
}

void PoolBuilder::addArm(const WorkerRecordPtr& prefill, const WorkerRecordPtr& decode) {
  std::string signature = prefill->worker.entry.id;
  if (decode) {
    signature += ">" + decode->worker.entry.id;
  }
  ArmPtr arm = findOrCreateArm(signature);
  const bool is_new = arm->prefill == nullptr;
  const bool other_instance = arm->prefill != prefill || arm->decode != decode;
  if (!is_new && other_instance) {
    arm->statistics.startInstance();
  }
  arm->prefill = prefill;
  arm->decode = decode;
  pool_.arms.push_back(std::move(arm));
}

ArmPtr PoolBuilder::findOrCreateArm(const std::string& signature) {
  const auto known = former_.find(signature);
  if (known != former_.end()) {
    ArmPtr arm = std::move(known->second);
    former_.erase(known);
    return arm;
  }
  auto arm = std::make_shared<Arm>();
  arm->signature = signature;
  arm->hash = base::hashBytes(signature);
  return arm;
}

void PoolBuilder::rankArms() {
  std::vector<Arm*> ranked;
  ranked.reserve(pool_.arms.size());
  for (const ArmPtr& arm : pool_.arms) {
    ranked.push_back(arm.get());
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Arm* first, const Arm* second) { return first->hash < second->hash; });
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    ranked[rank]->rank = rank;
  }
}

void PoolBuilder::retireFormerArms() {
  for (auto& [signature, arm] : former_) {
    pool_.retired.push_back(std::move(arm));
  }
}

std::string topologyOf(const ModelPool& pool) {
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

}  // namespace switchsaddle::routing
