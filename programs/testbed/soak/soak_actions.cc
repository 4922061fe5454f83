#include "soak/soak_actions.h"

#include <csignal>
#include <utility>

#include "switchsaddle/testbed/fleet/process_control.h"

namespace switchsaddle::testbed_commands {
namespace {

using std::chrono::milliseconds;

/** The supervisor kills a process that has not ended this long after its first SIGTERM. */
constexpr base::Duration Grace = std::chrono::seconds(8);
constexpr base::Duration KillLimit = std::chrono::seconds(5);
constexpr int MaximumTerms = 3;
constexpr double HangupShare = 0.3;
constexpr double EarlyHangupShare = 0.5;
/** A start takes up to so long on a busy machine. */
constexpr int LatestEarlyHangupMs = 40;
constexpr double KilledDuringShutdownShare = 0.3;
/** Short stops in a row, which make a process late without freezing it. */
constexpr int ShortStops = 20;
/** A core that comes back without its disk counts as lost for so long. */
constexpr int CatchUpMs = 4'000;
constexpr int DiskSlowdown = 30;
constexpr double PlannedReplacementShare = 0.5;

}  // namespace

SoakActions::SoakActions(SoakFleet& fleet, testbed::Interruption& interruption,
                         base::RandomSource& random, Note note)
    : fleet_(fleet), interruption_(interruption), random_(random), note_(std::move(note)) {}

bool SoakActions::pause(int least_ms, int most_ms) {
  const auto range = static_cast<std::uint64_t>(most_ms) - static_cast<std::uint64_t>(least_ms) + 1;
  return interruption_.wait(milliseconds(least_ms) + milliseconds(random_.below(range)));
}

void SoakActions::terminate(const std::string& name, bool may_kill) {
  const std::uint64_t terms = 1 + random_.below(MaximumTerms);
  for (std::uint64_t number = 0; number < terms; ++number) {
    note_("sigterm", name);
    fleet_.signal(name, SIGTERM);
    if (random_.chance(HangupShare)) {
      fleet_.hangUp(name);
    }
    pause(0, 500);
  }
  if (may_kill && random_.chance(KilledDuringShutdownShare)) {
    pause(0, 3'000);
    note_("kill-during-shutdown", name);
    fleet_.signal(name, SIGKILL);
  }
  if (!fleet_.waitForEnd(name, Grace)) {
    fleet_.signal(name, SIGKILL);
    fleet_.waitForEnd(name, KillLimit);
  }
  note_("ended", name);
  pause(0, 1'000);
  startAgain(name);
}

void SoakActions::kill(const std::string& name) {
  fleet_.signal(name, SIGKILL);
  fleet_.waitForEnd(name, KillLimit);
  pause(0, 2'000);
  startAgain(name);
}

void SoakActions::succeed(const std::string& name) {
  const testbed::ProcessIdentity predecessor = fleet_.identityOf(name);
  testbed::sendSignal(predecessor, SIGTERM);
  pause(0, 500);
  fleet_.startSuccessor(name);
  hangUpEarly(name);
  if (!testbed::waitForCondition(predecessor, testbed::ProcessCondition::Exited, Grace)) {
    testbed::sendSignal(predecessor, SIGKILL);
    testbed::waitForCondition(predecessor, testbed::ProcessCondition::Exited, KillLimit);
  }
  note_("predecessor-ended", name);
}

void SoakActions::startAgain(const std::string& name) {
  fleet_.startAgain(name);
  hangUpEarly(name);
}

void SoakActions::hangUpEarly(const std::string& name) {
  if (random_.chance(EarlyHangupShare)) {
    pause(0, LatestEarlyHangupMs);
    note_("sighup-while-starting", name);
    fleet_.hangUp(name);
  }
}

void SoakActions::freeze(const std::string& name) {
  fleet_.signal(name, SIGSTOP);
  pause(200, 3'500);
  fleet_.signal(name, SIGCONT);
}

void SoakActions::slow(const std::string& name) {
  for (int stop = 0; stop < ShortStops; ++stop) {
    fleet_.signal(name, SIGSTOP);
    pause(50, 150);
    fleet_.signal(name, SIGCONT);
    pause(5, 30);
  }
}

void SoakActions::killTogether(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    fleet_.signal(name, SIGKILL);
  }
  for (const std::string& name : names) {
    fleet_.waitForEnd(name, KillLimit);
  }
  pause(0, 1'000);
  for (const std::string& name : names) {
    startAgain(name);
  }
}

void SoakActions::wipe(const std::string& name) {
  fleet_.signal(name, SIGKILL);
  fleet_.waitForEnd(name, KillLimit);
  fleet_.wipe(name);
  pause(0, 2'000);
  startAgain(name);
  awaitRecovery();
}

void SoakActions::replaceCore(const std::string& name) {
  const bool is_planned = random_.chance(PlannedReplacementShare);
  fleet_.signal(name, is_planned ? SIGTERM : SIGKILL);
  if (!fleet_.waitForEnd(name, Grace)) {
    fleet_.signal(name, SIGKILL);
    fleet_.waitForEnd(name, KillLimit);
  }
  pause(0, 2'000);
  note_("replaced-by", fleet_.replaceCore(name));
  awaitRecovery();
}

void SoakActions::awaitRecovery() {
  pause(CatchUpMs, CatchUpMs);
}

void SoakActions::disturbDisk(const std::string& name) {
  switch (random_.below(3)) {
    case 0:
      note_("disk-slow", name);
      fleet_.setDisk(name, {}, DiskSlowdown);
      break;
    case 1:
      note_("disk-stalled", name);
      fleet_.setDisk(name, {.stalled = true});
      break;
    default:
      note_("disk-full", name);
      fleet_.setDisk(name, {.full = true});
  }
  pause(500, 5'000);
  fleet_.setDisk(name, {});
}

void SoakActions::changeSettings(const std::string& name) {
  fleet_.rewriteSettings(name);
  if (random_.chance(0.5)) {
    fleet_.hangUp(name);
  }
}

}  // namespace switchsaddle::testbed_commands
