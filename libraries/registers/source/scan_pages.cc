#include "scan_pages.h"

#include <algorithm>

namespace switchsaddle::registers {

void lowerFrontier(std::optional<std::string>& frontier, const wire::RegisterScanReply& page) {
  if (page.done || page.entries.empty()) {
    return;
  }
  const std::string& last = page.entries.back().key;
  frontier = frontier ? std::min(*frontier, last) : last;
}

}  // namespace switchsaddle::registers
