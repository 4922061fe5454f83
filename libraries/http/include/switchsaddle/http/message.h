#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/http/client_presence.h"

namespace switchsaddle::http {

/** One header field; its name is case-insensitive. */
struct Header {
  std::string name;
  std::string value;
};

/** A request, received or to be sent. */
struct Request {
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /** The client that sent it; null if no server received it. */
  ClientPresencePtr client = nullptr;
  /**
   * The memory that the server counts for this request. Whoever keeps the request's content keeps
   * this too, and grows it by what the content makes it keep besides. Null if nothing is counted.
   */
  base::ByteReservationPtr memory = nullptr;

  /** @return the value of the first field with this name, or an empty view. */
  std::string_view header(std::string_view name) const;
};

/** A complete response. */
struct Response {
  std::uint16_t status = 200;
  std::vector<Header> headers;
  std::string body;

  /** @return the value of the first field with this name, or an empty view. */
  std::string_view header(std::string_view name) const;
};

/** @return the path of a request target, without its query. */
std::string_view targetPath(std::string_view target);

/** @return the decoded value of a query parameter, or an empty string. */
std::string queryParameter(std::string_view target, std::string_view name);

}  // namespace switchsaddle::http
