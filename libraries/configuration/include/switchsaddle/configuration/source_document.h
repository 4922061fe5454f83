#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * Source documents: a configuration in the format of another system, from which entries are
 * derived. The text is stored as received, under the operators' own revision number, beside the
 * derived entries; see docs/CONFIGURATION.md.
 */

namespace switchsaddle::configuration {

/** Prefix of the paths of all entries derived from a source document. */
inline constexpr const char* SourceEntriesPrefix = "forwarding/";

/** Result of translating a source document. */
struct SourceTranslation {
  /** If not empty, the other fields are invalid. */
  std::vector<Fault> faults;
  std::uint64_t revision = 0;
  /** The complete document, as returned to operators. */
  std::string text;
  /** All entries derived from it. */
  std::vector<EntryChange> entries;
};

/**
 * Computes the next document from the current one and an operator's request. Pure, since the
 * register may evaluate it several times.
 */
using SourceTranslator = std::function<SourceTranslation(const std::string& current_text)>;

/** An operator's update of the source document: a complete document or a change. */
struct SourceUpdate {
  /** Idempotency key of the update. */
  std::string change_id;
  /** Revision that the update is based on; 0 for the first. */
  std::uint64_t base_revision = 0;
  SourceTranslator translate;
};

/**
 * Decides on an update. Pure, since the register may evaluate it several times. Only an update
 * whose change_id is recorded counts as repeated: the text of another update may be equal to the
 * one in force and still not be what its operator would get on the base it names.
 * @return Ok with the next value, in which only the derived entries that differ are changed, or the
 *     recorded result of a repeated update; ConfigurationConflict if the base is not the current
 *     revision; ConfigurationInvalid if there are faults or the revision does not increase.
 *     Rejections are not recorded.
 */
ChangeDecision decideSourceUpdate(const RegisterValue& current, const SourceUpdate& update);

/**
 * Decides on the requested evacuation state of a zone. Pure and idempotent: Ok without a change if
 * the zone already has this state.
 */
ChangeDecision decideEvacuation(const RegisterValue& current, const std::string& zone,
                                bool evacuated);

}  // namespace switchsaddle::configuration
