#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_fleet.h"
#include "switchsaddle/testbed/soak/interruption.h"

namespace switchsaddle::testbed_commands {

/**
 * Samples what each daemon of a fleet holds: its peak of resident memory and the bytes that have
 * arrived on its connections and are not read, which use memory of the machine too. Has a thread of
 * its own from construction to stop(). Thread-safe.
 */
class MemoryWatch {
 public:
  /**
   * @param fleet outlives the watch.
   * @param limit_bytes what a daemon may hold; 0 for no limit.
   */
  MemoryWatch(SoakFleet& fleet, std::size_t limit_bytes);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  void stop();
  /** @return one line for each daemon that held more than the limit. */
  std::vector<std::string> violations() const;
  /** @return the most that any daemon held. */
  std::string summary() const;

 private:
  void sample();

  SoakFleet& fleet_;
  const std::size_t limit_bytes_;
  testbed::Interruption ended_;
  mutable std::mutex mutex_;
  /** The most bytes that each daemon held, by name. */
  std::map<std::string, std::size_t> held_;
  std::thread thread_;
};

}  // namespace switchsaddle::testbed_commands
