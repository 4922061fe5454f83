#include "switchsaddle/http/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace switchsaddle::http {

Response errorResponse(base::ResultCode code, const std::string& message, const std::string& path) {
  const base::ResultCodeInfo& info = base::describe(code);
  boost::json::object error;
  error["code"] = static_cast<std::uint16_t>(code);
  error["name"] = info.name;
  error["message"] = message.empty() ? std::string(info.meaning) : message;
  error["retry_safe"] = info.retry_is_safe;
  if (!path.empty()) {
    error["path"] = path;
  }
  boost::json::object document;
  document["error"] = std::move(error);
  Response response;
  response.status = info.http_status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = boost::json::serialize(document);
  return response;
}

}  // namespace switchsaddle::http
