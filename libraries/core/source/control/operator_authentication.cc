#include "control/operator_authentication.h"

#include <algorithm>

#include "control/control_requests.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::core {

base::ResultCode authenticateOperator(const http::Request& request,
                                      const ControlDependencies& dependencies) {
  const std::string key = bearerOf(request);
  if (key.empty()) {
    return base::ResultCode::MissingKey;
  }
  const std::string hash = configuration::sha256Hex(key);
  const std::vector<std::string>& initial = dependencies.operator_hashes;
  const configuration::View& view = *dependencies.replica.view();
  const bool is_operator = std::find(initial.begin(), initial.end(), hash) != initial.end() ||
                           view.operator_hashes.contains(hash);
  if (is_operator) {
    return base::ResultCode::Ok;
  }
  return view.keys.contains(hash) ? base::ResultCode::NotAnOperator : base::ResultCode::UnknownKey;
}

}  // namespace switchsaddle::core
