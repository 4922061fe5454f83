#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/result_code.h"

namespace switchsaddle::front {

/** A dispatch that ended without an answer for the caller. */
struct EndedDispatch {
  /** Id of the worker instance. */
  std::string worker;
  base::NodeAddress address;
  /** Why it ended; Ok if a stream is moved away from a worker in maintenance. */
  base::ResultCode code = base::ResultCode::Ok;
  /** Status of the worker's response; 0 if none was read. */
  std::uint16_t status = 0;
};

/** Logs that a request is sent to another worker, and why. */
void logResend(const std::string& request_id, const EndedDispatch& previous,
               const std::string& next_worker, const base::NodeAddress& next_address);

/** Logs that a request ends without an answer although it may have run at the worker. */
void logUnanswered(const std::string& request_id, const EndedDispatch& last);

/** Logs that the caller of a request has disconnected while a worker may run it. */
void logCallerLeft(const std::string& request_id, const std::string& worker);

}  // namespace switchsaddle::front
