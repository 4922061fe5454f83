#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Faults that a fake worker injects on request. */
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

/** The body of POST /testbed/faults: the mode, the chunk of a stream at which the fault is
 * injected, and how many requests it affects. */
struct FaultOrder {
  FaultMode mode = FaultMode::None;
  /** The fault is injected into a stream once it has sent this many chunks. */
  std::uint64_t after_chunks = 0;
  /** Whether the body has "after_pieces"; without it a crash is immediate. */
  bool waits_for_chunk = false;
  /** Requests still to be affected; without "count" in the body, all until the next order.
   */
  std::uint64_t count = UINT64_MAX;
  base::Duration delay = base::Duration::zero();

  bool active(FaultMode wanted) const { return mode == wanted && count > 0; }
  /** Returns whether a fault of this mode is active, and counts one affected request if so. */
  bool take(FaultMode wanted);
};

/** Throws base::Error with MalformedJson or InvalidValue. */
FaultOrder parseFaultOrder(const std::string& body);

}  // namespace switchsaddle::testbed
