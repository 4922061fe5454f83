#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/http/message.h"

/**
 * @file
 * Parsing of control requests other than the bodies of changes, and the common responses. Parsers
 * append the faults they find; their result is valid only if none was appended.
 */

namespace switchsaddle::core {

/** A member of the acceptor set to be replaced by another process. */
struct ReplacementOrder {
  base::NodeAddress old_member;
  base::NodeAddress new_member;
};

/** HTTP status of a successful request. */
inline constexpr std::uint16_t StatusOk = 200;

http::Response jsonResponse(std::uint16_t status, std::string body);
/** @return the JSON error of a rejected request, with its result code and the faults found. */
http::Response controlError(base::ResultCode code,
                            const std::vector<configuration::Fault>& faults = {});

/**
 * @param faults not empty.
 * @return MalformedJson or ConfigurationInvalid, the code by which a body with these faults is
 * rejected.
 */
base::ResultCode codeOf(const std::vector<configuration::Fault>& faults);

/** @return whether the query has the flag, alone or with a value other than "false". */
bool queryFlag(std::string_view target, std::string_view name);

/** @return the request's bearer key; empty if it has none. */
std::string bearerOf(const http::Request& request);

/** @return the caller of a request that is read now. */
Caller callerOf(const http::Request& request, const ControlDependencies& dependencies);

/**
 * @return the change identifier of a request with no other field, from the body or, if the body
 * is empty, from the query.
 */
std::string changeIdOf(const http::Request& request, std::vector<configuration::Fault>& faults);

/** Parses the body of POST /v1/core/replacements: `{old, new}`, each "IP:PORT". */
ReplacementOrder parseReplacement(const std::string& body,
                                  std::vector<configuration::Fault>& faults);

}  // namespace switchsaddle::core
