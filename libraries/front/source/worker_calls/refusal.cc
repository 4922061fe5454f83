#include "worker_calls/refusal.h"

namespace switchsaddle::front {

namespace {

constexpr std::uint16_t StatusMisdirected = 421;

}  // namespace

bool isRefusal(const http::Response& head, std::string_view not_run_header) {
  return head.status == StatusMisdirected || !head.header(not_run_header).empty();
}

}  // namespace switchsaddle::front
