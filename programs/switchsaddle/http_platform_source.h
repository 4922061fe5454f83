#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle {

/** Reads GET /v1/workers of the platform. Runs on the control strand. */
class HttpPlatformSource : public workers::PlatformSource {
 public:
  HttpPlatformSource(base::Dispatcher& dispatcher, http::Client& client,
                     base::NodeAddress platform);
  void read(std::function<void(workers::PlatformReading)> callback) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
  base::NodeAddress platform_;
};

}  // namespace switchsaddle
