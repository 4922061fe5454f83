#pragma once

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** A front's request for slots with a pending reply. */
struct QueuedSlotRequest {
  wire::SlotRequest request;
  transport::ReplyFunction reply;
  /** Whether it arrived before the recall in progress, so that the recall's reports are newer. */
  bool in_recall = false;

  FrontIdentity front() const { return FrontIdentity{request.front, request.front_instance}; }
};

}  // namespace switchsaddle::admission
