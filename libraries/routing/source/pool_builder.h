#pragma once

#include <map>
#include <string>

#include "switchsaddle/routing/model_pool.h"
#include "switchsaddle/routing/worker_records.h"

namespace switchsaddle::routing {

/**
 * Rebuilds the arms of one pool from the worker records: one arm for each worker that serves both
 * stages, and one for each prefill-to-decode pair. Arms with the same signature as before keep
 * their statistics; those that are no longer built are retired. Used for one rebuild.
 */
class PoolBuilder {
 public:
  /** @param pool must outlive this object. */
  explicit PoolBuilder(ModelPool& pool) : pool_(pool) {}

  void build(const WorkerRecords::Records& records);

 private:
  void collectFormerArms();
  void buildArms(const WorkerRecords::Records& records);
  void addArm(const WorkerRecordPtr& prefill, const WorkerRecordPtr& decode);
  /** @return the former arm with this signature, removed from `former_`, or a new one. */
  ArmPtr findOrCreateArm(const std::string& signature);
  bool serves(const WorkerRecord& record) const;
  /** Ranks arms by hash, on which all fronts agree and which spreads zones over the lanes. */
  void rankArms();
  void retireFormerArms();

  ModelPool& pool_;
  /** Arms built before, by signature, that have not been built again. */
  std::map<std::string, ArmPtr> former_;
};

/** @return a text that changes when an arm, an instance or weights of the pool change. */
std::string topologyOf(const ModelPool& pool);

}  // namespace switchsaddle::routing
