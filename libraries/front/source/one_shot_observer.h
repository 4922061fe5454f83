#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "one_shot_run.h"

namespace switchsaddle::front {

/** Passes a worker's answer on to the run while there is one. */
class OneShotObserver : public WorkerObserver {
 public:
  OneShotObserver(std::weak_ptr<OneShotRun> run, std::string attempt)
      : run_(std::move(run)), attempt_(std::move(attempt)) {}

  void onHead(const WorkerHead& head) override {
    if (const auto run = run_.lock()) {
      run->onHead(attempt_, head);
    }
  }
  void onBytes(std::string bytes, std::function<void()> resume) override {
    if (const auto run = run_.lock()) {
      run->onBytes(attempt_, bytes);
      resume();
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
  std::weak_ptr<OneShotRun> run_;
  std::string attempt_;
};

}  // namespace switchsaddle::front
