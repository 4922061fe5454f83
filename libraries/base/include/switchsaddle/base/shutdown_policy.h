#pragma once

#include <cstdint>

namespace switchsaddle::base {

/** What a daemon does on a termination signal. */
enum class ShutdownAction : std::uint8_t {
  /** Start the graceful shutdown. */
  Begin,
  /** Go on with the graceful shutdown. */
  Continue,
  /** End the process immediately. */
  EndAtOnce,
};

/**
 * Decides what a daemon does on its termination signals. Invariant: repeated SIGTERMs do not cut
 * the graceful shutdown short, as requests in flight would lose their answers; supervisors send
 * them in series. Only a second SIGINT, from an operator at a terminal, ends the process at once.
 */
class ShutdownPolicy {
 public:
  /** @param signal SIGTERM or SIGINT. */
  ShutdownAction onSignal(int signal);

 private:
  bool stopping_ = false;
  bool interrupted_ = false;
};

}  // namespace switchsaddle::base
