#pragma once

#include <string>
#include <vector>

#include "parsed_configuration.h"
#include "switchsaddle/configuration/json_value.h"

/**
 * @file
 * The checks of one kind of entry each. parseX() checks an entry's own form and adds it to the
 * configuration; checkX() checks what it refers to once all entries have been parsed.
 */

namespace switchsaddle::configuration {

/** One entry on its way through the checks. */
struct EntryText {
  /** The whole path, such as "tenants/editors". */
  std::string path;
  /** What follows the kind, such as "editors". */
  std::string name;
  JsonValue value;
};

using Faults = std::vector<Fault>;

void parseShape(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkShapes(const ParsedConfiguration& parsed, Faults& faults);

void parseTenant(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkTenants(const ParsedConfiguration& parsed, Faults& faults);

void parseShare(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkShareTree(const ParsedConfiguration& parsed, Faults& faults);

void parseRoute(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkRoutes(const ParsedConfiguration& parsed, Faults& faults);

void parseKey(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkKeys(const ParsedConfiguration& parsed, Faults& faults);

void parseOperator(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);

void parseEvacuation(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);

void parseMaintenance(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);

void parseForwardRoute(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void parseForwardPool(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void parseForwardTenant(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);
void checkForwarding(const ParsedConfiguration& parsed, Faults& faults);

void parseTuning(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults);

}  // namespace switchsaddle::configuration
