#include "switchsaddle/workers/platform_list.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/workers/list_bounds.h"

namespace switchsaddle::workers {

namespace {

namespace json = boost::json;
using base::Error;
using base::ResultCode;

/** @throws Error with MissingField if there is no such member. */
const json::value& requiredMember(const json::object& object, const char* name,
                                  const std::string& path) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr) {
    throw Error(ResultCode::MissingField, "missing", path + "." + name);
  }
  return *found;
}

std::string requiredText(const json::object& object, const char* name, const std::string& path) {
  const json::value& value = requiredMember(object, name, path);
  if (!value.is_string()) {
    throw Error(ResultCode::InvalidValue, "must be a string", path + "." + name);
  }
  return std::string(value.get_string());
}

std::string optionalText(const json::object& object, const char* name, const std::string& path) {
  return object.contains(name) ? requiredText(object, name, path) : std::string();
}

/** @return the value, or zero if it is missing. */
std::uint64_t optionalNumber(const json::object& object, const char* name,
                             const std::string& path) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code failure;
  const auto result = value->to_number<std::uint64_t>(failure);
  if (failure) {
    throw Error(ResultCode::InvalidValue, "must be a non-negative integer", path + "." + name);
  }
  return result;
}

std::vector<std::string> parseModels(const json::object& object, const std::string& path) {
  std::vector<std::string> names;
  const json::value* value = object.if_contains("models");
  if (value == nullptr) {
    return names;
  }
  if (!value->is_array()) {
    throw Error(ResultCode::InvalidValue, "must be an array", path + ".models");
  }
  for (const json::value& name : value->get_array()) {
    if (!name.is_string()) {
      throw Error(ResultCode::InvalidValue, "must contain only strings", path + ".models");
    }
    names.emplace_back(name.get_string());
  }
  return names;
}

wire::WorkerStage parseStage(const json::object& object, const std::string& path) {
  const std::string name = optionalText(object, "stage", path);
  if (name.empty() || name == "both") {
    return wire::WorkerStage::Both;
  }
  if (name == "prefill") {
    return wire::WorkerStage::Prefill;
  }
  if (name == "decode") {
    return wire::WorkerStage::Decode;
  }
  throw Error(ResultCode::InvalidValue, "must be both, prefill or decode", path + ".stage");
}

wire::WorkerState parseState(const json::object& object, const std::string& path) {
  const std::string name = requiredText(object, "state", path);
  if (name == "ready") {
    return wire::WorkerState::Ready;
  }
  if (name == "draining") {
    return wire::WorkerState::Draining;
  }
  throw Error(ResultCode::InvalidValue, "must be ready or draining", path + ".state");
}

wire::WorkerEntry parseWorker(const json::value& value, const std::string& path) {
  if (!value.is_object()) {
    throw Error(ResultCode::InvalidValue, "must be an object", path);
  }
  const json::object& object = value.get_object();
  wire::WorkerEntry entry;
  entry.id = requiredText(object, "id", path);
  if (entry.id.empty()) {
    throw Error(ResultCode::InvalidValue, "must not be empty", path + ".id");
  }
  entry.address = base::NodeAddress::parse(requiredText(object, "address", path));
  entry.zone = requiredText(object, "zone", path);
  entry.models = parseModels(object, path);
  entry.service = requiredText(object, "service", path);
  entry.stage = parseStage(object, path);
  entry.state = parseState(object, path);
  entry.weights_version = optionalText(object, "weights_version", path);
  entry.slots = static_cast<std::uint32_t>(optionalNumber(object, "slots", path));
  entry.instance = optionalNumber(object, "generation", path);
  return entry;
}

PlatformReading parseReading(const json::value& value) {
  if (!value.is_object()) {
    throw Error(ResultCode::InvalidValue, "must be an object", "$");
  }
  const json::object& object = value.get_object();
  PlatformReading reading;
  reading.generation = optionalNumber(object, "generation", "$");
  const json::value& list = requiredMember(object, "workers", "$");
  if (!list.is_array()) {
    throw Error(ResultCode::InvalidValue, "must be an array", "$.workers");
  }
  std::set<std::string> ids;
  std::size_t index = 0;
  for (const json::value& item : list.get_array()) {
    const std::string path = "$.workers[" + std::to_string(index++) + "]";
    wire::WorkerEntry entry = parseWorker(item, path);
    if (!ids.insert(entry.id).second) {
      throw Error(ResultCode::InvalidValue, "duplicate worker id", path + ".id");
    }
    reading.workers.push_back(std::move(entry));
  }
  reading.code = ResultCode::Ok;
  return reading;
}

PlatformReading malformedReading(ResultCode code, std::string fault) {
  PlatformReading reading;
  reading.code = code;
  reading.fault = std::move(fault);
  return reading;
}

}  // namespace

PlatformReading parsePlatformList(const std::string& text) {
  if (!ListReading().addPage(text)) {
    return malformedReading(ResultCode::BodyTooLarge, "the list has too many bytes or values");
  }
  boost::system::error_code failure;
  const json::value value = json::parse(text, failure);
  if (failure) {
    return malformedReading(ResultCode::MalformedJson, failure.message());
  }
  try {
    return parseReading(value);
  } catch (const Error& error) {
    return malformedReading(error.code(), error.path() + ": " + error.what());
  }
}

}  // namespace switchsaddle::workers
