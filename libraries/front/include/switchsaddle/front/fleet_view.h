#pragma once

#include <memory>

#include "switchsaddle/configuration/view.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

/** What a front believes of the fleet at this moment, and where its own observations go. */
class FleetView {
 public:
  virtual ~FleetView() = default;
  /** The configuration in force here; never null. */
  virtual std::shared_ptr<const configuration::View> configuration() const = 0;
  /** Never null. */
  virtual workers::WorkerSnapshotPtr workers() const = 0;
  /** The worker said itself that it is draining. */
  virtual void observeDraining(const workers::Worker& worker) = 0;
  /** The worker's address refused a connection. */
  virtual void observeRefused(const workers::Worker& worker) = 0;
};

}  // namespace switchsaddle::front
