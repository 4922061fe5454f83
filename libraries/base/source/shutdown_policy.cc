#include "switchsaddle/base/shutdown_policy.h"

#include <csignal>
#include <utility>

namespace switchsaddle::base {

ShutdownAction ShutdownPolicy::onSignal(int signal) {
  const bool was_stopping = std::exchange(stopping_, true);
  const bool was_interrupted = interrupted_;
  interrupted_ = interrupted_ || signal == SIGINT;
  if (!was_stopping) {
    return ShutdownAction::Begin;
  }
  const bool interrupted_again = was_interrupted && signal == SIGINT;
  return interrupted_again ? ShutdownAction::EndAtOnce : ShutdownAction::Continue;
}

}  // namespace switchsaddle::base
