#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/http/message.h"

/**
 * @file
 * The bodies of the control API's orders that stand for a change of one entry. Every fault of a
 * body is appended to `faults`; the result has a meaning only where none was.
 */

namespace switchsaddle::core {

/** The order to empty a zone: `{change_id}`. */
configuration::Change parseEvacuationOrder(const http::Request& request, const std::string& zone,
                                           std::vector<configuration::Fault>& faults);
/** The end of an evacuation; change_id in the body or the query. */
configuration::Change parseRestoreOrder(const http::Request& request, const std::string& zone,
                                        std::vector<configuration::Fault>& faults);
/** A new key: `{change_id, id, tenant, sha256}`, or `secret` in place of `sha256`. */
configuration::Change parseKeyOrder(const http::Request& request,
                                    std::vector<configuration::Fault>& faults);
/** The revocation of a key; change_id in the body or the query. */
configuration::Change parseRevocation(const http::Request& request, const std::string& key,
                                      std::vector<configuration::Fault>& faults);

/** A member of the acceptor set to be replaced by another process. */
struct ReplacementOrder {
  base::NodeAddress old_member;
  base::NodeAddress new_member;
};

/** `{old, new}`, each "IP:PORT". */
ReplacementOrder parseReplacement(const http::Request& request,
                                  std::vector<configuration::Fault>& faults);

}  // namespace switchsaddle::core
