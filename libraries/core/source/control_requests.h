#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/http/message.h"

/**
 * @file
 * What the control API reads from requests beside the bodies of changes. Faults are appended; a
 * result has a meaning only where none was.
 */

namespace switchsaddle::core {

/** A member of the acceptor set to be replaced by another process. */
struct ReplacementOrder {
  base::NodeAddress old_member;
  base::NodeAddress new_member;
};

http::Response jsonResponse(std::uint16_t status, std::string body);
/** The numbered error of a refused request. */
http::Response controlError(base::ResultCode code,
                            const std::vector<configuration::Fault>& faults = {});

/** The code under which a faulty body is refused: that of its form, or of its content. */
base::ResultCode codeOf(const std::vector<configuration::Fault>& faults);

/** Whether the query has the flag, alone or with a value other than "false". */
bool queryFlag(std::string_view target, std::string_view name);

/** The key the request carries; empty where it carries none. */
std::string bearerOf(const http::Request& request);

/** The change_id of an order which names nothing else: from the body or, without one, the query. */
std::string changeIdOf(const http::Request& request, std::vector<configuration::Fault>& faults);

/** The body of POST /v1/core/replacements: `{old, new}`, each "IP:PORT". */
ReplacementOrder parseReplacement(const std::string& body,
                                  std::vector<configuration::Fault>& faults);

}  // namespace switchsaddle::core
