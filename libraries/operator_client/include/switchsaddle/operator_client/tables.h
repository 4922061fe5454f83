#pragma once

#include <string>
#include <vector>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::operator_client {

using TableRow = std::vector<std::string>;

/** @param rows the first one contains the titles. @return the rows with aligned columns. */
std::string renderTable(const std::vector<TableRow>& rows);

/**
 * Renders a response body as text: scalar members as lines, those of nested objects with their
 * path, followed by lists of objects as tables with a column for each member. Long cells are
 * truncated.
 */
std::string renderBody(const configuration::JsonValue& body);

}  // namespace switchsaddle::operator_client
