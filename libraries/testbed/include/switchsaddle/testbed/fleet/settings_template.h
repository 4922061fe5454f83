#pragma once

#include <map>
#include <string>

namespace switchsaddle::testbed {

/** Fields of a deployment by their names, with their values in JSON; lists are joined by commas. */
using TemplateFields = std::map<std::string, std::string>;

/**
 * Fills a settings template as the users' platform does: values, values as JSON, and sections that
 * are not nested. Only the parts of the template language that the templates of deploy/ use.
 */
std::string fillTemplate(const std::string& text, const TemplateFields& fields);

}  // namespace switchsaddle::testbed
