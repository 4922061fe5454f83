#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::exploration {

/** What a run does other than the undisturbed run, at one message between two machines. */
enum class DeviationKind : std::uint8_t {
  LoseMessage,
  /** The message arrives after the sender has given up waiting for an answer to it. */
  DelayMessage,
  DuplicateMessage,
  /** The sender's process ends; this message is the last that it sends. */
  KillSender,
  /** The receiver's process ends before the message arrives. */
  KillReceiver,
  /** As KillSender, and the sender's disk is lost. */
  WipeSender,
  WipeReceiver,
  FreezeSender,
  FreezeReceiver,
};

/** One deviation from the undisturbed run. */
struct Deviation {
  /** Number of the message in the run, from 0 on. */
  std::uint64_t message = 0;
  DeviationKind kind = DeviationKind::LoseMessage;

  auto operator<=>(const Deviation&) const = default;
};

/** Deviations by ascending message. A schedule determines a run completely. */
using Schedule = std::vector<Deviation>;

/** @return every kind, in the order of the enumeration. */
const std::vector<DeviationKind>& allDeviationKinds();
/** @return the kind's name, such as "kill-sender". */
std::string deviationName(DeviationKind kind);
/** @throws base::Error with InvalidValue if there is no kind with this name. */
DeviationKind parseDeviationKind(const std::string& name);

/** @return the schedule as text, such as "12:kill-sender,40:lose-message". */
std::string scheduleText(const Schedule& schedule);
/** The inverse of scheduleText(). @throws base::Error with InvalidValue if the text is malformed or
 * its messages do not ascend. */
Schedule parseSchedule(const std::string& text);

}  // namespace switchsaddle::exploration
