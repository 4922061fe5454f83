#include "modelled_worker.h"

#include <algorithm>

namespace switchsaddle::experiments {

namespace {

constexpr std::uint32_t QueueCapacity = 1'000;
/** Time until a front detects that a connection was refused or reset. */
constexpr base::Duration FailureDelay = std::chrono::milliseconds(5);
/** Assumed mean time of a stream on a slot, for the estimate of the wait. */
constexpr double AssumedServiceSeconds = 2.0;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ModelledWorker::ModelledWorker(simulation::World& world, const FleetSettings& settings,
                               std::string id, std::string model, double speed_factor)
    : world_(world),
      id_(std::move(id)),
      model_(std::move(model)),
      speed_(settings.speed),
      cache_tokens_(settings.cache_tokens),
      slot_count_(settings.slots) {
  speed_.prefill_tokens_per_s *= speed_factor;
  speed_.decode_tokens_per_s *= speed_factor;
  cache_ = std::make_unique<testbed::KvCache>(cache_tokens_);
  slots_ = std::make_unique<testbed::SlotQueue>(slot_count_, QueueCapacity);
}

void ModelledWorker::start() {
  up_ = true;
  ++instance_;
  started_ = world_.now();
  cache_ = std::make_unique<testbed::KvCache>(cache_tokens_);
  slots_ = std::make_unique<testbed::SlotQueue>(slot_count_, QueueCapacity);
}

void ModelledWorker::crash() {
  up_ = false;
  const std::set<StreamPtr> lost = std::move(open_);
  open_.clear();
  for (const StreamPtr& stream : lost) {
    fail(stream);
  }
}

void ModelledWorker::fail(const StreamPtr& stream) {
  stream->result.failed = true;
  world_.schedule(FailureDelay, [stream] { stream->done(stream->result); });
}

void ModelledWorker::scheduleStep(base::Duration delay, const StreamPtr& stream,
                                  void (ModelledWorker::*step)(const StreamPtr&)) {
  world_.schedule(delay, [this, stream, step] {
    if (open_.contains(stream)) {
      (this->*step)(stream);
    }
  });
}

void ModelledWorker::submit(const ModelledPrompt& prompt, FirstTokenCallback first_token,
                            DoneCallback done) {
  auto stream = std::make_shared<Stream>();
  stream->prompt = prompt;
  stream->first_token = std::move(first_token);
  stream->done = std::move(done);
  stream->submitted = world_.now();
  if (!up_) {
    fail(stream);
    return;
  }
  open_.insert(stream);
  const auto ticket = slots_->acquire([this, stream] { onSlot(stream); });
  if (ticket == testbed::SlotQueue::Refused) {
    open_.erase(stream);
    fail(stream);
  }
}

void ModelledWorker::onSlot(const StreamPtr& stream) {
  StreamResult& result = stream->result;
  result.cached_tokens = static_cast<std::uint32_t>(cachedTokens(stream->prompt));
  result.uncached_tokens = stream->prompt.prompt.prompt_tokens - result.cached_tokens;
  cache_->insert(stream->prompt.segments);
  scheduleStep(speed_.prefillTime(result.uncached_tokens, world_.now() - started_), stream,
               &ModelledWorker::onFirstToken);
}

void ModelledWorker::onFirstToken(const StreamPtr& stream) {
  stream->result.time_to_first_token = world_.now() - stream->submitted;
  stream->first_token();
  const std::uint32_t further = std::max(1U, stream->prompt.output_tokens) - 1U;
  scheduleStep(speed_.tokenTime(slots_->running()) * further, stream, &ModelledWorker::onLastToken);
}

void ModelledWorker::onLastToken(const StreamPtr& stream) {
  open_.erase(stream);
  StreamResult& result = stream->result;
  result.total = world_.now() - stream->submitted;
  result.running = slots_->running();
  result.queued = slots_->queued();
  result.slots = slot_count_;
  slots_->release();
  stream->done(result);
}

std::uint64_t ModelledWorker::cachedTokens(const ModelledPrompt& prompt) const {
  return cache_->cachedTokens(prompt.segments);
}

double ModelledWorker::estimateFirstToken(const ModelledPrompt& prompt) const {
  const std::uint64_t uncached = prompt.prompt.prompt_tokens - cachedTokens(prompt);
  const double prefill_s = secondsOf(speed_.prefillTime(uncached, world_.now() - started_));
  const bool waits = running() >= slot_count_;
  const double wait_s = waits ? AssumedServiceSeconds * (queued() + 1.0) / slot_count_ : 0.0;
  return wait_s + prefill_s;
}

}  // namespace switchsaddle::experiments
