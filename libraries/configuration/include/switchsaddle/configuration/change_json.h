#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * The bodies of the control API, read and written, so that servers need no JSON library of their
 * own. api/openapi.yaml holds their schemas.
 */

namespace switchsaddle::configuration {

/** A 64-bit digest as 16 hexadecimal digits, since JSON numbers lose precision above 2^53. */
std::string digestText(std::uint64_t digest);

/** {"version", "digest", "document"}. */
std::string renderConfiguration(const Document& document);

/** {"changes": [{"version", "change_id", "set", "removed"}]}, oldest first. */
std::string renderHistory(const std::vector<HistoryLine>& history);

/** [{"path", "code", "message"}]. */
std::string renderFaults(const std::vector<Fault>& faults);

/** {"error": {"code", "name", "message", "retry_safe", "faults"}}; the message defaults to the
 * table's. */
std::string renderError(base::ResultCode code, const std::string& message = {},
                        const std::vector<Fault>& faults = {});

/** What came of a change, as core::ChangeAnswer has it. */
struct ChangeResult {
  base::ResultCode code = base::ResultCode::Ok;
  std::uint64_t version = 0;
  std::vector<Fault> faults;
  bool repeated = false;
  bool dry_run = false;
};

/**
 * The body for a change: {"version", "acknowledged", "repeated", "dry_run", "code", "name"} for
 * Ok and CommittedNotYetInForce; else an error body, with "version" beside "error" for conflicts.
 * The HTTP status is that of base::describe(result.code).
 */
std::string renderChangeResult(const ChangeResult& result);

/** What a front has applied. */
struct FrontInForce {
  std::string address;
  std::uint64_t instance = 0;
  std::string zone;
  std::uint64_t applied_version = 0;
  std::uint64_t applied_digest = 0;
};

/** {"version", "digest", "fronts": [...]}; a front's `in_force` is whether it has the same. */
std::string renderInForce(std::uint64_t version, std::uint64_t digest,
                          const std::vector<FrontInForce>& fronts);

/** Parses the body of POST /v1/zones/{zone}/evacuation; gives its change_id. */
std::string parseEvacuationRequest(const std::string& body, std::vector<Fault>& faults);

/** The change that empties a zone, or with `restore` lets it take work again, on any base. */
Change evacuationChange(const std::string& change_id, const std::string& zone, bool restore);

/** The body of POST /v1/keys. */
struct KeyRequest {
  std::string change_id;
  /** Empty: derived from the change_id. */
  std::string id;
  std::string tenant;
  /** Empty: the server makes the secret. */
  std::string sha256;
};

KeyRequest parseKeyRequest(const std::string& body, std::vector<Fault>& faults);

/** A key about to be added. */
struct KeyIssue {
  std::string id;
  /** Empty where the operator gave the hash. */
  std::string secret;
  Change change;
};

/**
 * The change that adds a key. A secret made here is derived from the operator's own key and the
 * request, so that a resend, to whichever node, is the same change and gets the same secret; who
 * lacks the operator's key cannot work it out.
 */
KeyIssue issueKey(const KeyRequest& request, const std::string& operator_key);

/** The change that revokes a key, on any base. */
Change revokeKeyChange(const std::string& change_id, const std::string& id);

/** {"id", "secret", "version", ...}: the body for an added key; `secret` is left out where empty.
 */
std::string renderKeyResult(const KeyIssue& issue, const ChangeResult& result);

}  // namespace switchsaddle::configuration
