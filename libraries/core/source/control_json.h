#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/core/change_coordinator.h"
#include "switchsaddle/core/node_information.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/wire/session_messages.h"

/**
 * @file
 * The JSON answers of the control API.
 */

namespace switchsaddle::core {

http::Response configurationResponse(const configuration::Document& document);
http::Response historyResponse(const configuration::RegisterValue& value);
http::Response inForceResponse(const std::vector<wire::SessionTableEntry>& sessions);
http::Response statusResponse(const NodeStatus& status,
                              const std::vector<wire::SessionTableEntry>& sessions,
                              std::uint64_t version, std::uint64_t digest);
http::Response beliefsResponse(const base::NodeAddress& node, const journal::BeliefView& beliefs);
/** 200 or 202 with the version; else the error with its faults and the version in force. */
http::Response changeResponse(const ChangeAnswer& answer);
/** `{"error": {code, name, message, retry_safe, faults}}` with the status of the code. */
http::Response controlError(base::ResultCode code,
                            const std::vector<configuration::Fault>& faults = {});
/** `{}` with status 200. */
http::Response emptyResponse();

}  // namespace switchsaddle::core
