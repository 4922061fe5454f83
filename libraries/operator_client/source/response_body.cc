#include "response_body.h"

#include <vector>

namespace switchsaddle::operator_client {

namespace {

constexpr configuration::JsonLimits BodyLimits{
    .maximum_bytes = 67'108'864, .maximum_depth = 32, .maximum_values = 16'777'216};

}  // namespace

std::optional<configuration::JsonValue> parseBody(const std::string& body) {
  std::vector<configuration::Fault> ignored;
  return configuration::parseJson(body, BodyLimits, "", ignored);
}

}  // namespace switchsaddle::operator_client
