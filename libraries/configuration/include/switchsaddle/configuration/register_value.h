#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** Recorded result of a change, returned again for a repeated request (idempotency). */
struct RecordedChange {
  std::string change_id;
  /** Change::fingerprint(). */
  std::uint64_t fingerprint = 0;
  base::ResultCode code = base::ResultCode::Ok;
  /** The version committed, or, for a conflict, the version in force at that time. */
  std::uint64_t version = 0;
};

/** One entry of the history: the change that committed a version. */
struct HistoryEntry {
  std::uint64_t version = 0;
  std::string change_id;
  /** Paths of the entries set. */
  std::vector<std::string> set;
  /** Paths of the entries removed. */
  std::vector<std::string> removed;
};

/**
 * The source document in force; see docs/CONFIGURATION.md. Stored beside the entries, since fronts
 * do not use it.
 */
struct SourceDocument {
  /** Revision number assigned by the operators; 0 if there is no source document. */
  std::uint64_t revision = 0;
  /** The text as received. */
  std::string text;
};

/** Value of the configuration register. */
struct RegisterValue {
  Document document;
  /** Oldest first; at most MaximumRecordedChanges. */
  std::vector<RecordedChange> recorded;
  /** Oldest first; at most MaximumHistoryEntries. */
  std::vector<HistoryEntry> history;
  SourceDocument source = {};

  /** @return the recorded result of the change, or nullptr. */
  const RecordedChange* findRecorded(const std::string& change_id) const;
};

inline constexpr std::size_t MaximumRecordedChanges = 10'000;
inline constexpr std::size_t MaximumHistoryEntries = 1'000;

/** @return the stored form of the value. */
std::string encodeRegisterValue(const RegisterValue& value);
/**
 * Decodes the output of encodeRegisterValue(); an empty string is an empty value at version 0.
 * @throws base::Error with RecordCorrupt.
 */
RegisterValue decodeRegisterValue(const std::string& bytes);
/**
 * Decodes the document's version only.
 * @throws base::Error with RecordCorrupt.
 */
std::uint64_t decodeRegisterVersion(const std::string& bytes);

/** Decision on a change of the configuration register. */
struct ChangeDecision {
  base::ResultCode code = base::ResultCode::Ok;
  std::uint64_t version = 0;
  std::vector<Fault> faults;
  /** `next` must be written to the register; also set to record a conflict. */
  bool writes = false;
  /** This is the recorded result of an earlier change with the same change_id. */
  bool repeated = false;
  RegisterValue next;
};

/**
 * Decides on a change. Pure, since the register may evaluate it several times.
 * @return the recorded result if the change_id and fingerprint are recorded; ChangeIdReused if the
 *     change_id is recorded with another fingerprint; ConfigurationConflict if the base version is
 *     outdated; ConfigurationInvalid with the faults; else Ok with the next value.
 */
ChangeDecision decideChange(const RegisterValue& current, const Change& change);

/**
 * @param next `current` with the change applied; must be valid.
 * @return the decision that commits `next`.
 */
ChangeDecision commitChange(const RegisterValue& current, const Change& change, Document next);

}  // namespace switchsaddle::configuration
