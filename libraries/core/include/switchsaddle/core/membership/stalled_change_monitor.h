#pragma once

#include <cstdint>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"

namespace switchsaddle::core {

/**
 * Ends a change of the acceptor set that its driver has left in progress.
 *
 * The holder of the core-membership lease drives changes. A joint set may be unable to grant that
 * lease, since joining members grant none: with one staying member lost, the next members lack a
 * majority of granters. The registers do reach their quorums then, and the change needs no lease to
 * be safe, since each set is chosen by a compare-and-swap in the set before.
 *
 * Invariant: while majorities of the previous and of the next members of a joint set have their
 * disks and run, each of them that may vote completes the change or rolls it back, at the latest
 * StalledTime after it has the joint set. No particular process and no lease is needed.
 *
 * Runs on the control strand of every core.
 */
class StalledChangeMonitor {
 public:
  /** Longer than a lease and the campaign for the next, so that holders of the lease act first. */
  static constexpr base::Duration StalledTime = std::chrono::seconds(5);

  /** All arguments outlive the monitor. */
  StalledChangeMonitor(base::Dispatcher& dispatcher, base::IncidentSink& incidents,
                       const registers::Acceptor& acceptor, registers::AcceptorSetChange& change);

  void start();
  void stop();

 private:
  void check();
  void resume(std::uint64_t epoch);

  base::Dispatcher& dispatcher_;
  base::IncidentSink& incidents_;
  const registers::Acceptor& acceptor_;
  registers::AcceptorSetChange& change_;
  base::TimerPtr timer_;
  /** The epoch of the local set, and since when it is known or its change was last resumed. */
  std::uint64_t epoch_ = 0;
  base::TimePoint since_;
};

}  // namespace switchsaddle::core
