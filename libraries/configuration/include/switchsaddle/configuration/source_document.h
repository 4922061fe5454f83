#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * A source document: the text in which operators of another system keep a part of the
 * configuration. It is stored as they sent it, under their own revision number, beside the entries
 * derived from it; docs/CONFIGURATION.md.
 */

namespace switchsaddle::configuration {

/** All entries derived from a source document have paths below this one. */
inline constexpr const char* SourceEntriesPrefix = "forwarding/";

/** What a source document comes to. Meaningful only where `faults` is empty. */
struct SourceTranslation {
  std::vector<Fault> faults;
  std::uint64_t revision = 0;
  /** The whole document, to be read back. */
  std::string text;
  /** All entries derived from it. */
  std::vector<EntryChange> entries;
};

/**
 * Makes the next document of the present one and what an operator sent. Pure, since a register's
 * change function may repeat it.
 */
using SourceTranslator = std::function<SourceTranslation(const std::string& present_text)>;

/** One order of an operator: a whole document, or a change of one. */
struct SourceUpdate {
  /** The same for the same order sent again, and for no other. */
  std::string change_id;
  /** The revision that the order builds on; 0 for the first. */
  std::uint64_t base_revision = 0;
  SourceTranslator translate;
};

/**
 * Decides on an update: one already taken is acknowledged again, whatever came after it; another
 * base than the present revision is ConfigurationConflict; faults, and a revision not above the
 * present one, are ConfigurationInvalid; else the next value, in which only the derived entries
 * that differ have changed. Refusals are not recorded. Pure.
 */
ChangeDecision decideSourceUpdate(const RegisterValue& present, const SourceUpdate& update);

/** Decides on an order that says which state a zone is to have, not what is to change: one that the
 * zone is in already is acknowledged again. Pure. */
ChangeDecision decideEvacuation(const RegisterValue& present, const std::string& zone,
                                bool evacuated);

}  // namespace switchsaddle::configuration
