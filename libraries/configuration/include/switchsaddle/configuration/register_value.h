#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** The remembered result of a change, so that a resend gets the first answer again. */
struct RecordedChange {
  std::string change_id;
  std::uint64_t fingerprint = 0;
  base::ResultCode code = base::ResultCode::Ok;
  /** The version it made, or, for a conflict, the version then in force. */
  std::uint64_t version = 0;
};

/** One line of the history: which change made which version. */
struct HistoryLine {
  std::uint64_t version = 0;
  std::string change_id;
  std::vector<std::string> set;
  std::vector<std::string> removed;
};

/** The source document in force; docs/CONFIGURATION.md. Kept out of the entries, since fronts have
 * no use for it. */
struct SourceDocument {
  /** The operators' own number; 0 where there is none. */
  std::uint64_t revision = 0;
  /** As they sent it. */
  std::string text;
};

/** What the configuration register holds: the document, recent change results and the history. */
struct RegisterValue {
  Document document;
  /** Oldest first; at most MaximumRecordedChanges. */
  std::vector<RecordedChange> recorded;
  /** Oldest first; at most MaximumHistoryLines. */
  std::vector<HistoryLine> history;
  SourceDocument source = {};

  const RecordedChange* findRecorded(const std::string& change_id) const;
};

inline constexpr std::size_t MaximumRecordedChanges = 10'000;
inline constexpr std::size_t MaximumHistoryLines = 1'000;

/** Serialises with cereal; an empty string decodes to an empty value at version 0. */
std::string encodeRegisterValue(const RegisterValue& value);
/** Throws base::Error with RecordCorrupt. */
RegisterValue decodeRegisterValue(const std::string& bytes);
/** Only the document's version, without decoding the rest. Throws base::Error with RecordCorrupt.
 */
std::uint64_t decodeRegisterVersion(const std::string& bytes);

/** What deciding on a change against the present value led to. */
struct ChangeDecision {
  base::ResultCode code = base::ResultCode::Ok;
  std::uint64_t version = 0;
  std::vector<Fault> faults;
  /** Whether `next` is to be written (also for a recorded conflict). */
  bool writes = false;
  /** Whether the answer repeats the recorded result of the same change_id. */
  bool repeated = false;
  RegisterValue next;
};

/**
 * Decides on a change: a known change_id with the same fingerprint gets its recorded result again,
 * with another fingerprint ChangeIdReused; an old base version ConfigurationConflict; faults
 * ConfigurationInvalid; else the next value. Pure, so that a register's change function may repeat
 * it.
 */
ChangeDecision decideChange(const RegisterValue& present, const Change& change);

/** The decision that takes `next`, which is `present` with the change applied and has been checked.
 */
ChangeDecision commitChange(const RegisterValue& present, const Change& change, Document next);

}  // namespace switchsaddle::configuration
