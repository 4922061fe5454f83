#pragma once

#include <string>
#include <vector>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::operator_client {

using TableRow = std::vector<std::string>;

/** Rows with their columns aligned; the first row holds the titles. */
std::string renderTable(const std::vector<TableRow>& rows);

/**
 * A body of the control API for people: plain members as lines, those of nested objects by their
 * path, and after them lists of objects as tables with one column for each member. Long cells are
 * cut short.
 */
std::string renderBody(const configuration::JsonValue& body);

}  // namespace switchsaddle::operator_client
