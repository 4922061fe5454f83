#pragma once

#include <functional>
#include <string>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/lease/lease_granter.h"
#include "switchsaddle/registers/acceptor.h"

namespace switchsaddle::core {

/**
 * Opens a core node's record store and loads the acceptor and the lease granter from it. A store
 * that cannot be opened or read is opened again after a delay. Runs on the control strand.
 */
class StoreRecovery {
 public:
  /** @param recovered called once, when acceptor and granter are loaded. */
  StoreRecovery(const CoreEnvironment& environment, registers::Acceptor& acceptor,
                lease::LeaseGranter& granter, std::function<void()> recovered);
  StoreRecovery(const StoreRecovery&) = delete;
  StoreRecovery& operator=(const StoreRecovery&) = delete;

  void start();
  /** Cancels a pending retry. */
  void stop();
  /** @return why the store is new or could not be opened; empty if it is intact. */
  const std::string& fault() const { return fault_; }

 private:
  void open();
  void onOpened(base::ResultCode code, const storage::OpenedStore& opened);
  bool load(const storage::OpenedStore& opened);
  void reportNotOpened(base::ResultCode code);
  void reportLost(const std::string& reason);

  CoreEnvironment environment_;
  registers::Acceptor& acceptor_;
  lease::LeaseGranter& granter_;
  std::function<void()> recovered_;
  std::string fault_;
  base::TimerPtr retry_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
