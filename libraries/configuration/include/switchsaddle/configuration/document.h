#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::configuration {

/**
 * The configuration: entries by path, with one version number for the document and, for each entry,
 * the version that last changed it. Removed entries remain as tombstones, so that the digest
 * distinguishes a removal from an entry that never existed.
 */
struct Document {
  std::uint64_t version = 0;
  /** By path, tombstones included. */
  std::map<std::string, wire::ConfigurationEntry> entries;

  /** @return a digest of the version and all entries; equal documents have equal digests. */
  std::uint64_t digest() const;
  /** @return the entries changed after `since`. */
  wire::ConfigurationDelta deltaSince(std::uint64_t since) const;
  /**
   * Applies a delta whose from_version is at most this version and whose to_version is above it.
   * @return false, with the document unchanged, if the delta does not apply or the resulting digest
   *     differs from the delta's.
   */
  bool apply(const wire::ConfigurationDelta& delta);
  /** @return the live entries as canonical JSON: {"path": value, ...} ordered by path. */
  std::string toJson() const;
};

/** One fault of a configuration, a change or a settings file. */
struct Fault {
  /** Location of the fault, such as "tenants/editors.parameters.slots". */
  std::string path;
  base::ResultCode code = base::ResultCode::InvalidValue;
  std::string message;
};

/** One entry to set. */
struct EntryChange {
  std::string path;
  /** JSON text of the value. */
  std::string json;
};

/**
 * Base version of a change that applies to any version. Used by idempotent orders, such as the
 * evacuation of a zone or the revocation of a key: a repeated order is the same change.
 */
inline constexpr std::uint64_t AnyBaseVersion = std::numeric_limits<std::uint64_t>::max();

/** A change of the configuration, as submitted by an operator. */
struct Change {
  /** Idempotency key of the change. */
  std::string change_id;
  /** Version that the change is based on (optimistic concurrency). */
  std::uint64_t base_version = 0;
  std::vector<EntryChange> set;
  /** Paths of the entries to remove. */
  std::vector<std::string> remove;
  /** Replace the complete configuration: remove the entries that `set` does not name. */
  bool replace_all = false;

  /**
   * @return a hash of all fields but change_id, independent of the order of `set` and `remove`. It
   *     distinguishes a repeated change from another one with the same change_id.
   */
  std::uint64_t fingerprint() const;
};

/**
 * Parses the body of POST /v1/configuration/changes.
 * @param faults receives all faults found; the result is valid only if there is none.
 */
Change parseChange(const std::string& body, std::vector<Fault>& faults);

/** @return the document with the change applied at `version + 1`; does not validate the content. */
Document applyChange(const Document& document, const Change& change);

/**
 * @return the faults of the change itself: its id, paths that it sets or removes twice, and
 * removals of entries that the document does not contain.
 */
std::vector<Fault> checkChange(const Document& document, const Change& change);

/** @return all faults of the live entries: the schema of each and the references between them. */
std::vector<Fault> checkDocument(const Document& document);

/**
 * Parses a configuration file ({"path": value, ...}) into entries at version 1.
 * @param faults receives all faults found; the result is valid only if there is none.
 */
Document parseConfigurationFile(const std::string& text, std::vector<Fault>& faults);

}  // namespace switchsaddle::configuration
