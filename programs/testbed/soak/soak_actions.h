#pragma once

#include <functional>
#include <string>
#include <vector>

#include "soak/soak_fleet.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/soak/interruption.h"

namespace switchsaddle::testbed_commands {

/**
 * What a disturbance does to processes that nobody else disturbs meanwhile. Each action ends with
 * the processes started and awake, also if it is interrupted. Used by one thread.
 */
class SoakActions {
 public:
  /** Notes an event and its subject. */
  using Note = std::function<void(const std::string& event, const std::string& subject)>;

  /** @param interruption ends all pauses; outlives this object, as do the others. */
  SoakActions(SoakFleet& fleet, testbed::Interruption& interruption, base::RandomSource& random,
              Note note);

  /** A series of SIGTERMs; SIGKILL after the grace period or, if it may, within it. */
  void terminate(const std::string& name, bool may_kill);
  void kill(const std::string& name);
  /** Starts the successor of a process while that shuts down. */
  void succeed(const std::string& name);
  void freeze(const std::string& name);
  /** A row of short stops, which make a process late without freezing it. */
  void slow(const std::string& name);
  /** Kills the processes at the same moment; they come back within a second or two. */
  void killTogether(const std::vector<std::string>& names);
  /** Kills a core that comes back with an empty disk. */
  void wipe(const std::string& name);
  /** Replaces a core by one with an empty disk at another address. */
  void replaceCore(const std::string& name);
  /** Lets the disk of a core be slow, stall or fill up for a while. */
  void disturbDisk(const std::string& name);
  /** Writes the settings anew, as after a change of the seeds, and says so by SIGHUP or not. */
  void changeSettings(const std::string& name);

 private:
  /** Starts a process that has ended; it may get a SIGHUP while it starts. */
  void startAgain(const std::string& name);
  void hangUpEarly(const std::string& name);
  /** Waits until a process that lost its disk has had time to catch up. */
  void awaitRecovery();
  bool pause(int least_ms, int most_ms);

  SoakFleet& fleet_;
  testbed::Interruption& interruption_;
  base::RandomSource& random_;
  Note note_;
};

}  // namespace switchsaddle::testbed_commands
