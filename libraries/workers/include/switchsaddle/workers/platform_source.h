#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** One reading of the platform's list; `code` is not Ok where it could not be had or read. */
struct PlatformReading {
  base::ResultCode code = base::ResultCode::PeerTimeout;
  std::uint64_t generation = 0;
  std::vector<wire::WorkerEntry> workers;
  std::string fault;
};

/** Reads the platform's worker list: over HTTP, or a simulated platform. */
class PlatformSource {
 public:
  virtual ~PlatformSource() = default;
  virtual void read(std::function<void(PlatformReading)> callback) = 0;
};

}  // namespace switchsaddle::workers
