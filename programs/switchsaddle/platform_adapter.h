#pragma once

#include <memory>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/control_service.h"
#include "switchsaddle/front/forward_headers.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle {

/**
 * How a process speaks to what is outside the fleet: the product's own way, or that of the platform
 * whose name the settings give. Control strand.
 */
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  virtual front::ForwardHeaders forwardHeaders() const = 0;
  virtual std::unique_ptr<workers::PlatformSource> createPlatformSource(
      base::Dispatcher& dispatcher, http::Client& client, const base::NodeAddress& platform) = 0;
  /** Answers an operator's call and returns true; false where the call is the product's own. */
  virtual bool handleControl(core::ControlService& control, const http::Request& request,
                             const std::function<void(http::Response)>& respond) = 0;
};

/** Throws base::Error with SettingsInvalid for a name that is not known. */
std::unique_ptr<PlatformAdapter> createPlatformAdapter(const configuration::Settings& settings);

}  // namespace switchsaddle
