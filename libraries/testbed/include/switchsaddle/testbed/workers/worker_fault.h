#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Ways in which a stand-in worker misbehaves on request. */
enum class FaultMode : std::uint8_t {
  None,
  Crash,
  Stall,
  Late,
  Crossed,
  Cut,
  Drain,
  Gap,
  Repeat,
  ChangeRun,
  TruncatingClose,
  Refuse,
};

/** The body of POST /testbed/faults: one mode, when in a stream it strikes, and how many times. */
struct FaultOrder {
  FaultMode mode = FaultMode::None;
  /** Streams are struck once they have sent this many pieces. */
  std::uint64_t after_chunks = 0;
  /** Whether the body named after_chunks; without it a crash is immediate. */
  bool waits_for_chunk = false;
  /** Runs still to be struck; without a number in the body, all until the next order. */
  std::uint64_t count = UINT64_MAX;
  base::Duration delay = base::Duration::zero();

  bool active(FaultMode wanted) const { return mode == wanted && count > 0; }
  /** Uses up one strike of the wanted mode; false where it isn't active. */
  bool take(FaultMode wanted);
};

/** Throws base::Error with MalformedJson or InvalidValue. */
FaultOrder parseFaultOrder(const std::string& body);

}  // namespace switchsaddle::testbed
