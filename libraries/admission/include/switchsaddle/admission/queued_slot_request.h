#pragma once

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** A front's request for slots which the ledger has not answered yet. */
struct QueuedSlotRequest {
  wire::SlotRequest request;
  transport::ReplyFunction reply;
  /** Whether it came before the recall under way, so that the recall's answers are newer. */
  bool in_recall = false;

  FrontIdentity front() const { return FrontIdentity{request.front, request.front_instance}; }
};

}  // namespace switchsaddle::admission
