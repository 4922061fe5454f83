#pragma once

#include <optional>
#include <string>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::operator_client {

inline constexpr std::uint16_t StatusOk = 200;
inline constexpr std::uint16_t StatusAccepted = 202;
inline constexpr std::uint16_t FirstServerError = 500;

/** @return the JSON body of a response of the control API; std::nullopt if it is not JSON. */
std::optional<configuration::JsonValue> parseBody(const std::string& body);

}  // namespace switchsaddle::operator_client
