#include "switchsaddle/testbed/workers/worker_fault.h"

#include <array>
#include <string_view>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

struct ModeName {
  std::string_view name;
  FaultMode mode;
};

constexpr std::array ModeNames{
    ModeName{"none", FaultMode::None},       ModeName{"crash", FaultMode::Crash},
    ModeName{"stall", FaultMode::Stall},     ModeName{"late", FaultMode::Late},
    ModeName{"crossed", FaultMode::Crossed}, ModeName{"cut", FaultMode::Cut},
    ModeName{"drain", FaultMode::Drain},     ModeName{"gap", FaultMode::Gap},
    ModeName{"repeat", FaultMode::Repeat},   ModeName{"change-run", FaultMode::ChangeRun},
    ModeName{"refuse", FaultMode::Refuse},   ModeName{"silent-close", FaultMode::TruncatingClose},
};

FaultMode modeNamed(const std::string& name) {
  for (const ModeName& row : ModeNames) {
    if (row.name == name) {
      return row.mode;
    }
  }
  throw base::Error(base::ResultCode::InvalidValue, "unknown fault mode of a worker: " + name,
                    "mode");
}

std::uint64_t notNegative(std::int64_t number, const char* path) {
  if (number < 0) {
    throw base::Error(base::ResultCode::InvalidValue, "expected a number of at least 0", path);
  }
  return static_cast<std::uint64_t>(number);
}

}  // namespace

bool FaultOrder::take(FaultMode wanted) {
  if (!active(wanted)) {
    return false;
  }
  if (count != UINT64_MAX) {
    --count;
  }
  return true;
}

FaultOrder parseFaultOrder(const std::string& body) {
  const boost::json::object object = parseObject(body);
  FaultOrder order;
  order.mode = modeNamed(textField(object, "mode"));
  order.waits_for_chunk = object.contains("after_pieces");
  order.after_chunks = notNegative(integerField(object, "after_pieces"), "after_pieces");
  if (object.contains("count")) {
    order.count = notNegative(integerField(object, "count"), "count");
  }
  const std::uint64_t delay_ms = notNegative(integerField(object, "delay_ms"), "delay_ms");
  order.delay = std::chrono::milliseconds(delay_ms);
  return order;
}

}  // namespace switchsaddle::testbed
