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
 * The configuration: entries by path, one version number for the whole, and for each entry the
 * version that last changed it. Tombstones of removed entries are kept so that digests can tell a
 * removal from an entry never known.
 */
struct Document {
  std::uint64_t version = 0;
  std::map<std::string, wire::ConfigurationEntry> entries;

  /** Digest over version and all entries, tombstones included. Equal documents have equal digests.
   */
  std::uint64_t digest() const;
  /** All entries changed after `since`. */
  wire::ConfigurationDelta deltaSince(std::uint64_t since) const;
  /**
   * Applies a delta whose from_version is at most this version and whose to_version is above it.
   * Returns false, and changes nothing, where it does not fit or the digest afterwards differs.
   */
  bool apply(const wire::ConfigurationDelta& delta);
  /** The live entries as canonical JSON: {"path": value, ...} in path order. */
  std::string toJson() const;
};

/** One fault of a configuration, change or settings file. */
struct Fault {
  /** The path of the faulty place, such as "tenants/editors.parameters.slots". */
  std::string path;
  base::ResultCode code = base::ResultCode::InvalidValue;
  std::string message;
};

/** One entry to set; `json` is the text of its value. */
struct EntryChange {
  std::string path;
  std::string json;
};

/**
 * As a base version: the change applies to whichever version it finds. Orders such as emptying a
 * zone or revoking a key use it, so that a resend is the same change whatever happened in between.
 */
inline constexpr std::uint64_t AnyBaseVersion = std::numeric_limits<std::uint64_t>::max();

/** A change as an operator sends it. With `whole`, entries not named in `set` are removed. */
struct Change {
  std::string change_id;
  std::uint64_t base_version = 0;
  std::vector<EntryChange> set;
  std::vector<std::string> remove;
  bool whole = false;

  /** Hash of all but change_id, whatever the order of `set` and `remove`, to tell a resend from
   * another change under the same id. */
  std::uint64_t fingerprint() const;
};

/**
 * Parses the body of POST /v1/configuration/changes. All faults found are appended to `faults`; the
 * result is meaningful only where none was.
 */
Change parseChange(const std::string& body, std::vector<Fault>& faults);

/** The document with the change applied as `version + 1`; does not check the content. */
Document applyChange(const Document& document, const Change& change);

/**
 * Faults of the change itself: its id, paths it sets or removes twice, and, against the document it
 * applies to, removals of what is not there.
 */
std::vector<Fault> checkChange(const Document& document, const Change& change);

/** Every fault of the live entries of a document: each entry's form and the references between
 * them. */
std::vector<Fault> checkDocument(const Document& document);

/**
 * Parses a whole configuration file ({"path": value, ...}) into entries at version 1, for
 * `switchsaddle check` and examples.
 */
Document parseConfigurationFile(const std::string& text, std::vector<Fault>& faults);

}  // namespace switchsaddle::configuration
