#include "caller_events.h"

#include <boost/json.hpp>

namespace switchsaddle::streams {

namespace {

std::string formatEvent(std::uint64_t id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

}  // namespace

std::string formatChunk(std::uint64_t id, const WorkerEvent& event) {
  boost::json::object chunk = boost::json::parse(event.data).as_object();
  if (!chunk.contains("run")) {
    chunk["run"] = event.run;
  }
  return formatEvent(id, boost::json::serialize(chunk));
}

std::string formatDone(std::uint64_t id, const WorkerEvent& event) {
  return formatEvent(id, event.data);
}

std::string formatError(base::ResultCode code, std::uint64_t chunks, const std::string& run) {
  const base::ResultCodeInfo& info = base::describe(code);
  boost::json::object error;
  error["code"] = static_cast<std::uint16_t>(code);
  error["name"] = info.name;
  error["message"] = info.meaning;
  error["outcome"] = "unknown";
  error["run"] = run;
  if (chunks > 0) {
    error["last_piece"] = chunks - 1;
  } else {
    error["last_piece"] = nullptr;
  }
  error["retry_safe"] = info.retry_is_safe;
  return "event: error\n" + formatEvent(chunks, boost::json::serialize(error));
}

}  // namespace switchsaddle::streams
