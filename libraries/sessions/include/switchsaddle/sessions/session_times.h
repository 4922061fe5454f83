#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::sessions {

/** Time limits of sessions; all nodes of a fleet must share them. */
struct SessionTimes {
  /** Time after which a session expires at its front, counted from the request. */
  base::Duration front_limit = std::chrono::milliseconds(1'000);
  /** Time after which a session expires at a core, counted from receipt of the record. Must exceed
   * front_limit. */
  base::Duration core_limit = std::chrono::milliseconds(1'500);
  /** Interval of renewals. */
  base::Duration renewal = std::chrono::milliseconds(250);
  /** A front that has no answer from a core within this time switches to the next core. */
  base::Duration core_timeout = std::chrono::milliseconds(300);
  /** Time-out of a read of the live sessions. */
  base::Duration read_deadline = std::chrono::milliseconds(2'000);
  /** How long after its session expired a front may serve while a majority of cores refuse
   * connections. Zero disables serving without a core. */
  base::Duration core_refused_grace = std::chrono::seconds(60);
  /** Minimum time between two batches of records from one core to its peers. */
  base::Duration batch_interval = std::chrono::milliseconds(20);
  /** The same if a record shows a version that its front has newly applied, since a change may wait
   * for it. */
  base::Duration applied_batch_interval = std::chrono::milliseconds(2);
  /** Maximum time for which a batch waits until a majority has recorded the previous one. */
  base::Duration longest_batch_interval = std::chrono::milliseconds(100);
};

}  // namespace switchsaddle::sessions
