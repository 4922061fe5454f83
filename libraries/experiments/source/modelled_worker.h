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

/** What a worker tells the front about one stream. */
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
 * The stand-in worker's arithmetic without its sockets: the laboratory's KV cache, slot queue and
 * speeds. A stream's tokens all take the time that holds when its first one is out. Each stream's
 * callback runs exactly once; a crash fails all of them.
 */
class ModelledWorker {
 public:
  using FirstTokenCallback = std::function<void()>;
  using DoneCallback = std::function<void(const StreamResult&)>;

  ModelledWorker(simulation::World& world, const FleetSettings& settings, std::string id,
                 std::string model, double speed_factor);

  void submit(const ModelledPrompt& prompt, FirstTokenCallback first_token, DoneCallback done);
  void crash();
  /** Starts with an empty cache, cold, as a new instance. */
  void start();

  const std::string& id() const { return id_; }
  const std::string& model() const { return model_; }
  bool up() const { return up_; }
  std::uint64_t instance() const { return instance_; }
  std::uint64_t cachedTokens(const ModelledPrompt& prompt) const;
  std::uint32_t running() const { return slots_->running(); }
  std::uint32_t queued() const { return slots_->queued(); }
  /** Exact time to the first token but for the wait, which is guessed from the queue. */
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
  /** Runs the step later, unless the worker crashes before. */
  void after(base::Duration delay, const StreamPtr& stream,
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
