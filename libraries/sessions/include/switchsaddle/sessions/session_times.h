#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::sessions {

/** Time limits of sessions; all nodes of a fleet must share them. */
struct SessionTimes {
  /** A front's own limit, counted from the moment of asking. */
  base::Duration front_limit = std::chrono::milliseconds(1'000);
  /** A core's limit, counted from receipt of the record; above the front's. */
  base::Duration core_limit = std::chrono::milliseconds(1'500);
  base::Duration renewal = std::chrono::milliseconds(250);
  /** A core silent for this long is passed over for the next. */
  base::Duration core_timeout = std::chrono::milliseconds(300);
  /** How long a read of the live sessions may take in all. */
  base::Duration read_deadline = std::chrono::milliseconds(2'000);
  /** How long a front serves on while a majority of cores refuse connections; zero: not at all. */
  base::Duration core_refused_grace = std::chrono::seconds(60);
  /** Least time between two batches of records from one core to its peers. */
  base::Duration batch_interval = std::chrono::milliseconds(20);
  /** The same where a record tells of a version that its front has newly applied: a change waits
   * for it. */
  base::Duration applied_batch_interval = std::chrono::milliseconds(2);
  /** A batch waits until a majority has recorded the one before, but no longer than this: where
   * cores are late, more records share a message. */
  base::Duration longest_batch_interval = std::chrono::milliseconds(100);
};

}  // namespace switchsaddle::sessions
