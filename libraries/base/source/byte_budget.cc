#include "switchsaddle/base/byte_budget.h"

namespace switchsaddle::base {

bool ByteBudget::tryTake(std::size_t bytes, std::size_t holder_bytes) {
  const std::size_t limit = holder_bytes > SmallHolderBytes ? limitOfLargeHolders() : limit_;
  std::size_t used = used_.load();
  do {
    if (bytes > limit || used > limit - bytes) {
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  return true;
}

bool ByteReservation::tryGrow(std::size_t bytes) {
  if (!budget_->tryTake(bytes, held() + bytes)) {
    return false;
  }
  held_ += bytes;
  return true;
}

bool ByteReservation::tryTo(std::size_t bytes) {
  const std::size_t before = held();
  if (bytes > before) {
    return tryGrow(bytes - before);
  }
  held_ = bytes;
  budget_->release(before - bytes);
  return true;
}

void ByteReservation::forceTo(std::size_t bytes) {
  const std::size_t before = held_.exchange(bytes);
  budget_->force(bytes);
  budget_->release(before);
}

}  // namespace switchsaddle::base
