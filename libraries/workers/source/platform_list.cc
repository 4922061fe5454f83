#include "switchsaddle/workers/platform_list.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::workers {

namespace {

namespace json = boost::json;
using base::Error;
using base::ResultCode;

const json::value& member(const json::object& object, const char* name, const std::string& path) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr) {
    throw Error(ResultCode::MissingField, "missing", path + "." + name);
  }
  return *found;
}

std::string text(const json::object& object, const char* name, const std::string& path) {
  const json::value& value = member(object, name, path);
  if (!value.is_string()) {
    throw Error(ResultCode::InvalidValue, "must be a string", path + "." + name);
  }
  return std::string(value.get_string());
}

std::string optionalText(const json::object& object, const char* name, const std::string& path) {
  return object.contains(name) ? text(object, name, path) : std::string();
}

std::uint64_t number(const json::object& object, const char* name, const std::string& path) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code failure;
  const auto result = value->to_number<std::uint64_t>(failure);
  if (failure) {
    throw Error(ResultCode::InvalidValue, "must be a whole number", path + "." + name);
  }
  return result;
}

std::vector<std::string> models(const json::object& object, const std::string& path) {
  std::vector<std::string> names;
  const json::value* value = object.if_contains("models");
  if (value == nullptr) {
    return names;
  }
  if (!value->is_array()) {
    throw Error(ResultCode::InvalidValue, "must be a list", path + ".models");
  }
  for (const json::value& name : value->get_array()) {
    if (!name.is_string()) {
      throw Error(ResultCode::InvalidValue, "must hold strings", path + ".models");
    }
    names.emplace_back(name.get_string());
  }
  return names;
}

wire::WorkerStage stage(const json::object& object, const std::string& path) {
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

wire::WorkerState state(const json::object& object, const std::string& path) {
  const std::string name = text(object, "state", path);
  if (name == "ready") {
    return wire::WorkerState::Ready;
  }
  if (name == "draining") {
    return wire::WorkerState::Draining;
  }
  throw Error(ResultCode::InvalidValue, "must be ready or draining", path + ".state");
}

wire::WorkerEntry worker(const json::value& value, const std::string& path) {
  if (!value.is_object()) {
    throw Error(ResultCode::InvalidValue, "must be an object", path);
  }
  const json::object& object = value.get_object();
  wire::WorkerEntry entry;
  entry.id = text(object, "id", path);
  if (entry.id.empty()) {
    throw Error(ResultCode::InvalidValue, "must not be empty", path + ".id");
  }
  entry.address = base::NodeAddress::parse(text(object, "address", path));
  entry.zone = text(object, "zone", path);
  entry.models = models(object, path);
  entry.service = text(object, "service", path);
  entry.stage = stage(object, path);
  entry.state = state(object, path);
  entry.weights_version = optionalText(object, "weights_version", path);
  entry.slots = static_cast<std::uint32_t>(number(object, "slots", path));
  entry.instance = number(object, "generation", path);
  return entry;
}

PlatformReading read(const json::value& value) {
  if (!value.is_object()) {
    throw Error(ResultCode::InvalidValue, "must be an object", "$");
  }
  const json::object& object = value.get_object();
  PlatformReading reading;
  reading.generation = number(object, "generation", "$");
  const json::value& list = member(object, "workers", "$");
  if (!list.is_array()) {
    throw Error(ResultCode::InvalidValue, "must be a list", "$.workers");
  }
  std::set<std::string> seen;
  std::size_t index = 0;
  for (const json::value& item : list.get_array()) {
    const std::string path = "$.workers[" + std::to_string(index++) + "]";
    wire::WorkerEntry entry = worker(item, path);
    if (!seen.insert(entry.id).second) {
      throw Error(ResultCode::InvalidValue, "is listed twice", path + ".id");
    }
    reading.workers.push_back(std::move(entry));
  }
  reading.code = ResultCode::Ok;
  return reading;
}

PlatformReading malformed(ResultCode code, std::string fault) {
  PlatformReading reading;
  reading.code = code;
  reading.fault = std::move(fault);
  return reading;
}

}  // namespace

PlatformReading parsePlatformList(const std::string& text) {
  boost::system::error_code failure;
  const json::value value = json::parse(text, failure);
  if (failure) {
    return malformed(ResultCode::MalformedJson, failure.message());
  }
  try {
    return read(value);
  } catch (const Error& error) {
    return malformed(error.code(), error.path() + ": " + error.what());
  }
}

}  // namespace switchsaddle::workers
