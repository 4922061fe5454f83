#pragma once

#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::core {

/**
 * Test-only deviations, each of which switches off one rule of the protocols to show that the rule
 * is needed. Never set in a daemon.
 */
struct CoreFaults {
  /** Acknowledges a change as soon as it is committed. */
  bool acknowledge_without_waiting = false;
  /** Records no change identifiers, so that a retried change is decided anew. */
  bool forget_change_ids = false;
  sessions::SessionTableFaults sessions;
  /** Acceptors reply before the accepted value is synced. */
  bool answer_before_sync = false;
  /** Reads of the configuration return the local replica's document, without a quorum. */
  bool read_unconfirmed = false;
  /** Carries out orders whose caller no longer waits for them. */
  bool carry_out_expired_orders = false;
  /** Only the holder of the core-membership lease ends a change of the acceptor set. */
  bool ignore_stalled_set_changes = false;
  /** Tells a restarted core nothing of the initial cores. */
  bool withhold_initial_cores = false;
};

}  // namespace switchsaddle::core
