#include "switchsaddle/front/request/control_forwarder.h"

#include <array>
#include <utility>

#include "switchsaddle/http/error_response.h"

namespace switchsaddle::front {

namespace {

constexpr std::array<std::string_view, 7> CorePaths{
    "/v1/configuration", "/v1/zones",  "/v1/keys", "/v1/health",
    "/v1/maintenance",   "/v1/status", "/v1/core"};

}  // namespace

ControlForwarder::ControlForwarder(transport::PeerCalls& calls, CoreAddresses cores)
    : calls_(calls), cores_(std::move(cores)) {}

bool ControlForwarder::serves(std::string_view path) {
  for (const std::string_view known : CorePaths) {
    const bool below = path.size() > known.size() && path[known.size()] == '/';
    if (path.starts_with(known) && (path.size() == known.size() || below)) {
      return true;
    }
  }
  return false;
}

void ControlForwarder::forward(const http::Request& request, Respond respond) {
  wire::ControlRequest message;
  message.method = request.method;
  message.target = request.target;
  message.authorization = request.header("Authorization");
  message.body = request.body;
  attemptCore({std::move(message), request.client}, 0, std::move(respond));
}

void ControlForwarder::attemptCore(Forwarded forwarded, std::size_t attempts, Respond respond) {
  if (forwarded.client != nullptr && forwarded.client->hasLeft()) {
    respond(http::errorResponse(base::ResultCode::OrderExpired));
    return;
  }
  const std::vector<base::NodeAddress> cores = cores_();
  if (attempts >= cores.size()) {
    respond(
        http::errorResponse(base::ResultCode::NoQuorum, "no core node responded to the request"));
    return;
  }
  const std::size_t core = (preferred_ + attempts) % cores.size();
  const wire::ControlRequest request = forwarded.request;
  auto on_reply = [this, forwarded = std::move(forwarded), attempts, core,
                   respond = std::move(respond)](const transport::CallResult& result) mutable {
    const auto* reply = result.as<wire::ControlReply>();
    if (reply == nullptr) {
      attemptCore(std::move(forwarded), attempts + 1, std::move(respond));
      return;
    }
    preferred_ = core;
    http::Response response;
    response.status = reply->status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = reply->body;
    respond(std::move(response));
  };
  calls_.call(cores[core], request, CoreTimeout, callbacks_.guard(std::move(on_reply)));
}

}  // namespace switchsaddle::front
