#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "switchsaddle/http/message.h"

namespace switchsaddle::testbed_commands {

/** A whole configuration in the form of the users' platform: the soak's routes, pool and tenant. */
boost::json::object platformDocument(std::uint64_t version);

/** A route of that configuration. @param timeout_ms its time limit. */
boost::json::object platformStreamRoute(int timeout_ms);

/** Routes on a host of their own, which grow the configuration and serve nobody. */
boost::json::array platformFurtherRoutes(std::uint64_t count);

/** A request that replaces the configuration `base`. */
http::Request replaceRequest(std::uint64_t base, std::string document);

/** A request that changes the configuration `base`. */
http::Request patchRequest(std::uint64_t base, const boost::json::object& patch);

}  // namespace switchsaddle::testbed_commands
