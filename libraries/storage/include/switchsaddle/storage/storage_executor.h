#pragma once

#include <functional>

namespace switchsaddle::storage {

/** Runs blocking disk work sequentially: on its own thread, or in the simulation. */
class StorageExecutor {
 public:
  virtual ~StorageExecutor() = default;
  /** Runs `work` off the strand, then posts `completion` to the dispatcher. */
  virtual void execute(std::function<void()> work, std::function<void()> completion) = 0;
};

}  // namespace switchsaddle::storage
