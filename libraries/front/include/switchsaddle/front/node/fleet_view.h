#pragma once

#include <memory>

#include "switchsaddle/configuration/view.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/** A front's current view of the fleet, and the receiver of its own observations. */
class FleetView {
 public:
  virtual ~FleetView() = default;
  /** @return the configuration in force at this front; never null. */
  virtual std::shared_ptr<const configuration::View> configuration() const = 0;
  /** @return the workers known to this front; never null. */
  virtual workers::WorkerSnapshotPtr workers() const = 0;
  /** The worker reported in a response that it is shutting down gracefully. */
  virtual void observeDraining(const workers::Worker& worker) = 0;
  /** The worker's address refused a connection. */
  virtual void observeRefused(const workers::Worker& worker) = 0;
};

}  // namespace switchsaddle::front
