#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * Parsing and rendering of the control API's request and response bodies. api/openapi.yaml contains
 * their schemas.
 */

namespace switchsaddle::configuration {

/** @return the digest as 16 hexadecimal digits, since JSON numbers lose precision above 2^53. */
std::string digestText(std::uint64_t digest);

/** @return {"version", "digest", "document"}. */
std::string renderConfiguration(const Document& document);

/** @return {"changes": [{"version", "change_id", "set", "removed"}]}, oldest first. */
std::string renderHistory(const std::vector<HistoryEntry>& history);

/** @return [{"path", "code", "message"}]. */
std::string renderFaults(const std::vector<Fault>& faults);

/**
 * @param message defaults to the code's meaning.
 * @return {"error": {"code", "name", "message", "retry_safe", "faults"}}.
 */
std::string renderError(base::ResultCode code, const std::string& message = {},
                        const std::vector<Fault>& faults = {});

/** Result of a change; see core::ChangeAnswer. */
struct ChangeResult {
  base::ResultCode code = base::ResultCode::Ok;
  /** Version committed, or the version in force for a conflict. */
  std::uint64_t version = 0;
  std::vector<Fault> faults;
  /** The result was recorded for an earlier request with the same change_id. */
  bool repeated = false;
  bool dry_run = false;
};

/**
 * @return {"version", "acknowledged", "repeated", "dry_run", "code", "name"} for Ok and
 *     CommittedNotYetInForce, else {"version", "repeated", "error"}. The HTTP status is that of
 *     base::describe(result.code).
 */
std::string renderChangeResult(const ChangeResult& result);

/** Configuration applied by one front. */
struct FrontInForce {
  std::string address;
  std::uint64_t instance = 0;
  std::string zone;
  std::uint64_t applied_version = 0;
  std::uint64_t applied_digest = 0;
};

/**
 * @return {"version", "digest", "fronts": [...]}; "in_force" of a front states whether it has
 * applied this version with this digest.
 */
std::string renderInForce(std::uint64_t version, std::uint64_t digest,
                          const std::vector<FrontInForce>& fronts);

/**
 * Parses the body of POST /v1/zones/{zone}/evacuation.
 * @param faults receives all faults found.
 * @return the change_id.
 */
std::string parseEvacuationRequest(const std::string& body, std::vector<Fault>& faults);

/** @return the change, on any base version, that evacuates a zone, or ends its evacuation. */
Change evacuationChange(const std::string& change_id, const std::string& zone, bool restore);

/** Body of POST /v1/keys. */
struct KeyRequest {
  std::string change_id;
  /** Empty derives the id from the change_id. */
  std::string id;
  std::string tenant;
  /** Hash of the operator's secret; empty makes the server generate the secret. */
  std::string sha256;
};

/**
 * Parses the body of POST /v1/keys.
 * @param faults receives all faults found; the result is valid only if there is none.
 */
KeyRequest parseKeyRequest(const std::string& body, std::vector<Fault>& faults);

/** A key to be added. */
struct KeyIssue {
  std::string id;
  /** Empty if the request contained the hash. */
  std::string secret;
  Change change;
};

/**
 * Prepares the change that adds a key. A generated secret is derived from the operator's key and
 * the request: a repeated request to any node is the same change with the same secret, and the
 * secret cannot be computed without the operator's key.
 */
KeyIssue issueKey(const KeyRequest& request, const std::string& operator_key);

/** @return the change, on any base version, that revokes a key. */
Change revokeKeyChange(const std::string& change_id, const std::string& id);

/** @return {"id", "secret", "version", ...}; "secret" is omitted if empty. */
std::string renderKeyResult(const KeyIssue& issue, const ChangeResult& result);

}  // namespace switchsaddle::configuration
