#pragma once

#include <memory>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/control/control_service.h"
#include "switchsaddle/front/forward/forward_headers.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle {

/**
 * Adapter to the interfaces of the deployment: header names, worker list and operators' requests.
 * The setting `dialect` selects the product's own interfaces or those of a platform. Runs on the
 * control strand.
 */
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  /** @return the header names of forwarded requests. */
  virtual front::ForwardHeaders forwardHeaders() const = 0;
  /** @return the source of the worker list. @param platform its address. */
  virtual std::unique_ptr<workers::PlatformSource> createPlatformSource(
      base::Dispatcher& dispatcher, http::Client& client, const base::NodeAddress& platform) = 0;
  /**
   * Handles an operator's request in the platform's format.
   * @param respond called exactly once if the request is handled.
   * @return false if the request is not part of the platform's interface.
   */
  virtual bool handleControl(core::ControlService& control, const http::Request& request,
                             const std::function<void(http::Response)>& respond) = 0;
};

/**
 * @return the adapter selected by the settings.
 * @throws base::Error with SettingsInvalid if the dialect is unknown.
 */
std::unique_ptr<PlatformAdapter> createPlatformAdapter(const configuration::Settings& settings);

}  // namespace switchsaddle
