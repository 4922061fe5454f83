#include "request/caller_authentication.h"

#include <algorithm>

#include "switchsaddle/base/error.h"

namespace switchsaddle::front {

using base::ResultCode;

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

}  // namespace

std::string secretHash(const http::Request& request) {
  const std::string_view authorization = request.header("Authorization");
  if (!authorization.starts_with(BearerPrefix)) {
    throw base::Error(ResultCode::MissingKey, "");
  }
  return configuration::sha256Hex(std::string(authorization.substr(BearerPrefix.size())));
}

const configuration::Tenant& authenticateTenant(const configuration::View& view,
                                                const http::Request& request) {
  const auto key = view.keys.find(secretHash(request));
  if (key == view.keys.end()) {
    throw base::Error(ResultCode::UnknownKey, "");
  }
  const auto tenant = view.tenants.find(key->second.tenant);
  if (tenant == view.tenants.end()) {
    throw base::Error(ResultCode::UnknownKey, "the key's tenant is not in the configuration");
  }
  return tenant->second;
}

void authenticateOperator(const configuration::View& view,
                          const std::vector<std::string>& bootstrap_hashes,
                          const http::Request& request) {
  const std::string hash = secretHash(request);
  const bool is_operator = std::ranges::find(bootstrap_hashes, hash) != bootstrap_hashes.end() ||
                           view.operator_hashes.contains(hash);
  if (!is_operator) {
    throw base::Error(view.keys.contains(hash) ? ResultCode::NotAnOperator : ResultCode::UnknownKey,
                      "");
  }
}

}  // namespace switchsaddle::front
