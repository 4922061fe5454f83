#include "pending_answers.h"

#include <utility>

namespace switchsaddle::registers {

void PendingAnswer::send(const wire::Message& answer) {
  if (!sent_) {
    sent_ = true;
    reply_(answer);
  }
}

PendingAnswers::PendingAnswers(base::Dispatcher& dispatcher, base::Duration bound,
                               AnswerSource overdue_answer)
    : dispatcher_(dispatcher),
      bound_(bound),
      overdue_answer_(std::move(overdue_answer)),
      overdue_timer_(dispatcher.createTimer([this] { sendOverdue(); })) {}

std::shared_ptr<PendingAnswer> PendingAnswers::add(transport::ReplyFunction reply) {
  auto pending = std::make_shared<PendingAnswer>(std::move(reply), dispatcher_.now() + bound_);
  answers_.push_back(pending);
  armTimer();
  return pending;
}

void PendingAnswers::armTimer() {
  while (!answers_.empty() && answers_.front()->sent()) {
    answers_.pop_front();
  }
  if (!answers_.empty() && !overdue_timer_->enabled()) {
    overdue_timer_->enable(answers_.front()->overdueAt() - dispatcher_.now());
  }
}

void PendingAnswers::sendOverdue() {
  while (!answers_.empty()) {
    PendingAnswer& oldest = *answers_.front();
    if (!oldest.sent() && oldest.overdueAt() > dispatcher_.now()) {
      break;
    }
    oldest.send(overdue_answer_());
    answers_.pop_front();
  }
  armTimer();
}

}  // namespace switchsaddle::registers
