#include "switchsaddle/front/admission/stage.h"

namespace switchsaddle::front {

Stage::Stage(std::size_t concurrency, std::size_t queue_bound)
    : state_(std::make_shared<State>(queue_bound)) {
  state_->concurrency = concurrency;
}

bool Stage::submit(Task task) {
  if (state_->running < state_->concurrency && state_->queue.size() == 0) {
    ++state_->running;
    task(makeTicket(state_));
    return true;
  }
  return state_->queue.push(std::move(task));
}

std::size_t Stage::running() const {
  return state_->running;
}

std::size_t Stage::queued() const {
  return state_->queue.size();
}

StageTicket Stage::makeTicket(const std::shared_ptr<State>& state) {
  return StageTicket(state.get(), [state](void*) {
    --state->running;
    runNext(state);
  });
}

void Stage::runNext(const std::shared_ptr<State>& state) {
  // A task may end within its own call; then the outer loop continues, which bounds the stack.
  if (state->running_next) {
    return;
  }
  state->running_next = true;
  while (state->running < state->concurrency) {
    std::optional<Task> task = state->queue.pop();
    if (!task) {
      break;
    }
    ++state->running;
    (*task)(makeTicket(state));
  }
  state->running_next = false;
}

}  // namespace switchsaddle::front
