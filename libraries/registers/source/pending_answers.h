#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** An answer that waits for its commit. It is sent once: when the commit ends or when it is
 * overdue, whichever comes first. */
class PendingAnswer {
 public:
  PendingAnswer(transport::ReplyFunction reply, base::TimePoint overdue_at)
      : reply_(std::move(reply)), overdue_at_(overdue_at) {}

  /** Does nothing if an answer was sent before. */
  void send(const wire::Message& answer);
  bool sent() const { return sent_; }
  base::TimePoint overdueAt() const { return overdue_at_; }

 private:
  transport::ReplyFunction reply_;
  base::TimePoint overdue_at_;
  bool sent_ = false;
};

/**
 * The answers of an acceptor that wait for their commits, oldest first. If a commit takes longer
 * than the bound, the overdue answer is sent instead. Runs on the acceptor's strand.
 */
class PendingAnswers {
 public:
  using AnswerSource = std::function<wire::Message()>;

  /** @param overdue_answer creates the answer to a request whose commit is overdue. */
  PendingAnswers(base::Dispatcher& dispatcher, base::Duration bound, AnswerSource overdue_answer);

  std::shared_ptr<PendingAnswer> add(transport::ReplyFunction reply);

 private:
  void armTimer();
  void sendOverdue();

  base::Dispatcher& dispatcher_;
  base::Duration bound_;
  AnswerSource overdue_answer_;
  std::deque<std::shared_ptr<PendingAnswer>> answers_;
  base::TimerPtr overdue_timer_;
};

}  // namespace switchsaddle::registers
