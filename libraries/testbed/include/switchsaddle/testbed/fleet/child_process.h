#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/fleet/process_end.h"

namespace switchsaddle::testbed {

/** Steps of a new process between fork and exec; only async-signal-safe calls are allowed. */
using ChildPreparation = std::function<void()>;

/**
 * A program that runs as a child of this process, in surroundings that the caller chooses. Killed
 * and reaped with the object. Used by one thread.
 */
class ChildProcess {
 public:
  /**
   * Starts the program. Returns once it runs.
   * @param command path of the program and its arguments.
   * @throws base::Error with StorageFailed if the program cannot be started.
   */
  ChildProcess(const std::vector<std::string>& command, const ChildPreparation& prepare);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void signal(int number) const;
  /** @return how the program ended; std::nullopt if it still runs after the limit. */
  std::optional<ProcessEnd> waitForEnd(base::Duration limit);

 private:
  pid_t pid_ = -1;
  std::optional<ProcessEnd> end_;
};

}  // namespace switchsaddle::testbed
