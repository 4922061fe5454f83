#pragma once

#include <string>

namespace switchsaddle::operator_client {

/** @return the text percent-encoded for a path segment or a query parameter's value. */
std::string escapeForUrl(const std::string& text);

}  // namespace switchsaddle::operator_client
