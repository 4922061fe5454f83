#pragma once

#include <cstddef>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::sessions {

/** The cores that a front knows, and the current one, to which it sends renewals. */
class CoreSelection {
 public:
  /** @param current index of the current core. */
  CoreSelection(std::vector<base::NodeAddress> cores, std::size_t current)
      : cores_(std::move(cores)), current_(current) {}

  const std::vector<base::NodeAddress>& addresses() const { return cores_; }
  /** @return the current core, or nullptr if no core is known. */
  const base::NodeAddress* current() const;
  /**
   * Switches to the next core if `core` is the current one.
   *
   * @return whether it was the current one.
   */
  bool switchFrom(const base::NodeAddress& core);
  /** Switches to another core chosen at random. */
  void switchAtRandom(base::RandomSource& random);
  /**
   * Replaces the cores. The current one stays current if it is among them, except that added cores
   * take their share of the fronts: each core is the current one of an equal part of them.
   * @param cores not empty.
   */
  void replace(const std::vector<base::NodeAddress>& cores, base::RandomSource& random);
  /** Adds the cores that are not known yet. */
  void add(const std::vector<base::NodeAddress>& cores);

 private:
  base::NodeAddress chooseAmong(const std::vector<base::NodeAddress>& cores,
                                base::RandomSource& random) const;

  std::vector<base::NodeAddress> cores_;
  std::size_t current_;
};

}  // namespace switchsaddle::sessions
