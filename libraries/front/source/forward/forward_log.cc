#include "forward/forward_log.h"

#include "switchsaddle/base/log.h"

namespace switchsaddle::front {

namespace {

std::string codeText(base::ResultCode code) {
  return std::to_string(static_cast<std::uint16_t>(code));
}

}  // namespace

void logResend(const std::string& request_id, const EndedDispatch& previous,
               const std::string& next_worker, const base::NodeAddress& next_address) {
  base::logEvent(base::Severity::Notice, "request-resent",
                 {{"request_id", request_id},
                  {"worker", previous.worker},
                  {"address", previous.address.toString()},
                  {"code", codeText(previous.code)},
                  {"status", std::to_string(previous.status)},
                  {"next_worker", next_worker},
                  {"next_address", next_address.toString()}});
}

void logUnanswered(const std::string& request_id, const EndedDispatch& last) {
  base::logEvent(base::Severity::Notice, "request-unanswered",
                 {{"request_id", request_id},
                  {"worker", last.worker},
                  {"address", last.address.toString()},
                  {"code", codeText(last.code)},
                  {"status", std::to_string(last.status)}});
}

void logCallerLeft(const std::string& request_id, const std::string& worker) {
  base::logEvent(base::Severity::Notice, "caller-left",
                 {{"request_id", request_id}, {"worker", worker}});
}

}  // namespace switchsaddle::front
