#pragma once

#include <string>

namespace switchsaddle::front {

/** The HTML of GET /: the routing table of the front that serves it, live. */
std::string routingPage();

}  // namespace switchsaddle::front
