#pragma once

#include <functional>
#include <memory>

namespace switchsaddle {

/** A front or core that has all that it needs to run. */
class Daemon {
 public:
  Daemon() = default;
  virtual ~Daemon() = default;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Runs until the daemon is stopped. @return the exit code. */
  virtual int run() = 0;
};

/**
 * Reads the settings and takes addresses, folders and locks.
 * @throws base::Error, std::system_error or boost::system::system_error.
 */
using DaemonFactory = std::function<std::unique_ptr<Daemon>()>;

/**
 * Starts a daemon and runs it. A fault of starting that may pass by itself is not final: a
 * predecessor may still hold an address or the data folder, a disk may be mounted late, the
 * settings may just be written. The daemon then tries again for a minute, says so in the log, and
 * ends at once on SIGTERM or SIGINT. Settings that cannot be right end the start at once.
 * @return the exit code.
 * @throws what the factory throws, if that is final or does not pass in time.
 */
int startAndRun(const DaemonFactory& create);

}  // namespace switchsaddle
