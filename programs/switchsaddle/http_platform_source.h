#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle {

/** Reads the worker list with GET /v1/workers from the platform. Runs on the control strand. */
class HttpPlatformSource : public workers::PlatformSource {
 public:
  /** @param dispatcher runs the callbacks; must, like the client, outlive pending readings. */
  HttpPlatformSource(base::Dispatcher& dispatcher, http::Client& client,
                     base::NodeAddress platform);
  void read(std::function<void(workers::PlatformReading)> callback) override;

 private:
  base::Dispatcher& dispatcher_;
  http::Client& client_;
  base::NodeAddress platform_;
};

}  // namespace switchsaddle
