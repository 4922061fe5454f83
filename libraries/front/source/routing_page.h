#pragma once

#include <string>

namespace switchsaddle::front {

/** @return the HTML of GET /: a live view of the routing table of the front that serves it. */
std::string routingPage();

}  // namespace switchsaddle::front
