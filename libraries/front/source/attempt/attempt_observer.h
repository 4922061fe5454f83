#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "switchsaddle/front/worker_calls/worker_port.h"

namespace switchsaddle::front {

/**
 * Passes the events of one attempt to the run that dispatched it, as long as the run exists. Each
 * event carries the attempt's id, by which the run ignores events of earlier attempts.
 *
 * @tparam Head the parsed response header of the port.
 * @tparam Run has onHead(), onBytes(), onComplete() and onFailure(), whose first parameter is the
 * id.
 * @tparam AttemptId the identifier by which the run distinguishes its attempts.
 */
template <class Head, class Run, class AttemptId>
class AttemptObserver : public ResponseObserver<Head> {
 public:
  AttemptObserver(std::weak_ptr<Run> run, AttemptId attempt)
      : run_(std::move(run)), attempt_(std::move(attempt)) {}

  void onHead(const Head& head) override {
    if (const auto run = run_.lock()) {
      run->onHead(attempt_, head);
    }
  }
  void onBytes(std::string bytes, std::function<void()> resume) override {
    if (const auto run = run_.lock()) {
      run->onBytes(attempt_, bytes, std::move(resume));
    }
  }
  void onComplete() override {
    if (const auto run = run_.lock()) {
      run->onComplete(attempt_);
    }
  }
  void onFailure(WorkerFailure failure, bool refused) override {
    if (const auto run = run_.lock()) {
      run->onFailure(attempt_, failure, refused);
    }
  }

 private:
  std::weak_ptr<Run> run_;
  AttemptId attempt_;
};

}  // namespace switchsaddle::front
