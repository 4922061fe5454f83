#include "worker_calls/response_matcher.h"

#include <string_view>
#include <utility>

#include "switchsaddle/base/log.h"

namespace switchsaddle::front {

ResponseMatcher responseMatcher(base::NodeAddress worker, std::string id_header,
                                std::string request_id) {
  return [worker = std::move(worker), id_header = std::move(id_header),
          request_id = std::move(request_id)](const http::Response& head) {
    const std::string_view echoed_id = head.header(id_header);
    if (echoed_id == request_id) {
      return true;
    }
    base::logEvent(base::Severity::Notice, "unmatched-response",
                   {{"worker", worker.toString()},
                    {"request_id", request_id},
                    {"echoed_id", std::string(echoed_id)},
                    {"status", std::to_string(head.status)}});
    return false;
  };
}

}  // namespace switchsaddle::front
