#pragma once

#include <string>
#include <vector>

#include "parsed_configuration.h"
#include "switchsaddle/configuration/json_value.h"

/**
 * @file
 * Parsers and checks of the kinds of entries. parseX() validates one entry by itself and adds it to
 * the configuration; checkX() validates the references between entries once all are parsed. Both
 * append every fault found.
 */

namespace switchsaddle::configuration {

/** One entry to parse. */
struct EntryText {
  /** The complete path, such as "tenants/editors". */
  std::string path;
  /** The path after the prefix of the kind, such as "editors". */
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
