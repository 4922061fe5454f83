#pragma once

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** A front's request for slots that has not been answered yet. */
struct QueuedSlotRequest {
  wire::SlotRequest request;
  transport::ReplyFunction reply;
  /**
   * Whether the request was queued before the current recall began. The fronts' reports to the
   * recall are then newer than the request.
   */
  bool in_recall = false;

  FrontIdentity front() const { return FrontIdentity{request.front, request.front_instance}; }
};

}  // namespace switchsaddle::admission
