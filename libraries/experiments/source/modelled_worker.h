#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "fleet_settings.h"
#include "prompt_source.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/testbed/workers/kv_cache.h"
#include "switchsaddle/testbed/workers/slot_queue.h"

namespace switchsaddle::experiments {

/** A worker's report to the front about one stream. */
struct StreamResult {
  bool failed = false;
  std::uint32_t cached_tokens = 0;
  std::uint32_t uncached_tokens = 0;
  base::Duration time_to_first_token{};
  base::Duration total{};
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
};

/**
 * Models the test bed's fake worker without sockets: its KV cache, slot queue and speeds. The time
 * per token of a stream is fixed when its first token is sent. The done callback of each stream
 * runs exactly once; a crash fails all open streams.
 */
class ModelledWorker {
 public:
  using FirstTokenCallback = std::function<void()>;
  using DoneCallback = std::function<void(const StreamResult&)>;

  ModelledWorker(simulation::World& world, const FleetSettings& settings, std::string id,
                 std::string model, double speed_factor);

  void submit(const ModelledPrompt& prompt, FirstTokenCallback first_token, DoneCallback done);
  void crash();
  /** Starts a new instance with an empty cache. */
  void start();

  const std::string& id() const { return id_; }
  const std::string& model() const { return model_; }
  bool up() const { return up_; }
  std::uint64_t instance() const { return instance_; }
  std::uint64_t cachedTokens(const ModelledPrompt& prompt) const;
  std::uint32_t running() const { return slots_->running(); }
  std::uint32_t queued() const { return slots_->queued(); }
  /** Time to the first token in seconds: the exact prefill time and an estimated wait for a slot.
   */
  double estimateFirstToken(const ModelledPrompt& prompt) const;

 private:
  struct Stream {
    ModelledPrompt prompt;
    FirstTokenCallback first_token;
    DoneCallback done;
    base::TimePoint submitted{};
    StreamResult result;
  };
  using StreamPtr = std::shared_ptr<Stream>;

  void onSlot(const StreamPtr& stream);
  void onFirstToken(const StreamPtr& stream);
  void onLastToken(const StreamPtr& stream);
  void fail(const StreamPtr& stream);
  /** Runs the step after a delay, unless the worker crashes before. */
  void scheduleStep(base::Duration delay, const StreamPtr& stream,
                    void (ModelledWorker::*step)(const StreamPtr&));

  simulation::World& world_;
  std::string id_;
  std::string model_;
  testbed::WorkerSpeed speed_;
  std::uint64_t cache_tokens_;
  std::uint32_t slot_count_;
  bool up_ = false;
  std::uint64_t instance_ = 0;
  base::TimePoint started_{};
  std::unique_ptr<testbed::KvCache> cache_;
  std::unique_ptr<testbed::SlotQueue> slots_;
  std::set<StreamPtr> open_;
};

}  // namespace switchsaddle::experiments
