#include "worker_chunk.h"

#include <boost/json.hpp>

namespace switchsaddle::streams {

namespace {

/** @return false if the optional member is present but not an unsigned integer. */
bool readNumber(const boost::json::object& object, std::string_view name,
                std::optional<std::uint64_t>& number) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return true;
  }
  boost::system::error_code fault;
  number = value->to_number<std::uint64_t>(fault);
  return !fault;
}

/** @return false if the optional member is present but not a string. */
bool readString(const boost::json::object& object, std::string_view name,
                std::optional<std::string>& text) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return true;
  }
  if (!value->is_string()) {
    return false;
  }
  text = std::string(value->get_string());
  return true;
}

}  // namespace

std::optional<WorkerChunk> parseWorkerChunk(std::string_view text) {
  boost::system::error_code fault;
  const boost::json::value value = boost::json::parse(text, fault);
  if (fault || !value.is_object()) {
    return std::nullopt;
  }
  const boost::json::object& object = value.get_object();
  WorkerChunk chunk;
  const bool is_valid = readString(object, "run", chunk.run) &&
                        readNumber(object, "index", chunk.index) &&
                        readNumber(object, "tokens", chunk.tokens);
  return is_valid ? std::optional(std::move(chunk)) : std::nullopt;
}

}  // namespace switchsaddle::streams
