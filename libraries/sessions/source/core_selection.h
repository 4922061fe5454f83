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
  /** Replaces the cores; the current one stays current if it is among them. */
  void replace(const std::vector<base::NodeAddress>& cores);
  /** Adds the cores that are not known yet. */
  void add(const std::vector<base::NodeAddress>& cores);

 private:
  std::vector<base::NodeAddress> cores_;
  std::size_t current_;
};

}  // namespace switchsaddle::sessions
