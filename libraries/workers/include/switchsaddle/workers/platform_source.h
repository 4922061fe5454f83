#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** Result of reading the platform's worker list once. */
struct PlatformReading {
  /** Ok, or why the list could not be fetched or parsed; then only `fault` is set besides. */
  base::ResultCode code = base::ResultCode::PeerTimeout;
  /** Generation of the list; increases with each change; zero if the platform sends none. */
  std::uint64_t generation = 0;
  std::vector<wire::WorkerEntry> workers;
  /** Description of the error; empty if there is none. */
  std::string fault;
};

/** Source of the platform's worker list: an HTTP client or a simulated platform. Runs on the
 * control strand. */
class PlatformSource {
 public:
  virtual ~PlatformSource() = default;
  /** Reads the list once. The callback runs at most once, possibly within the call. */
  virtual void read(std::function<void(PlatformReading)> callback) = 0;
};

}  // namespace switchsaddle::workers
