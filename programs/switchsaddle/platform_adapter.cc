#include "platform_adapter.h"

#include "forward_headers.h"
#include "http_platform_source.h"
#include "instance_list.h"
#include "operator_interface.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle {

namespace {

constexpr std::string_view PlatformDialectName = "platform";

/** The product's own interfaces. */
class DefaultAdapter : public PlatformAdapter {
 public:
  front::ForwardHeaders forwardHeaders() const override { return {}; }
  std::unique_ptr<workers::PlatformSource> createPlatformSource(
      base::Dispatcher& dispatcher, http::Client& client,
      const base::NodeAddress& platform) override {
    return std::make_unique<HttpPlatformSource>(dispatcher, client, platform);
  }
  bool handleControl(core::ControlService& /*control*/, const http::Request& /*request*/,
                     const std::function<void(http::Response)>& /*respond*/) override {
    return false;
  }
};

/** The interfaces translated by the folder platform/. */
class TranslatingAdapter : public PlatformAdapter {
 public:
  front::ForwardHeaders forwardHeaders() const override { return platform::forwardHeaders(); }
  std::unique_ptr<workers::PlatformSource> createPlatformSource(
      base::Dispatcher& dispatcher, http::Client& client,
      const base::NodeAddress& platform) override {
    return std::make_unique<platform::InstanceList>(dispatcher, client, platform);
  }
  bool handleControl(core::ControlService& control, const http::Request& request,
                     const std::function<void(http::Response)>& respond) override {
    return platform::OperatorInterface(control).handle(request, respond);
  }
};

}  // namespace

std::unique_ptr<PlatformAdapter> createPlatformAdapter(const configuration::Settings& settings) {
  if (settings.dialect.empty()) {
    return std::make_unique<DefaultAdapter>();
  }
  if (settings.dialect == PlatformDialectName) {
    return std::make_unique<TranslatingAdapter>();
  }
  throw base::Error(
      base::ResultCode::SettingsInvalid,
      "dialect: '" + settings.dialect + "' is not known; expected 'platform' or an empty text",
      "dialect");
}

}  // namespace switchsaddle
