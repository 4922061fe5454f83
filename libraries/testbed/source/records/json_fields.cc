#include "switchsaddle/testbed/records/json_fields.h"

#include <boost/json.hpp>
#include <fstream>
#include <iterator>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

[[noreturn]] void wrongType(std::string_view name) {
  throw base::Error(base::ResultCode::InvalidValue, "field has the wrong type", std::string(name));
}

}  // namespace

boost::json::object parseObject(std::string_view text) {
  boost::json::error_code failure;
  boost::json::parse_options options;
  options.allow_comments = true;
  boost::json::value value = boost::json::parse({text.data(), text.size()}, failure, {}, options);
  if (failure || !value.is_object()) {
    throw base::Error(base::ResultCode::MalformedJson, "expected a JSON object");
  }
  return std::move(value.as_object());
}

std::string textField(const boost::json::object& object, std::string_view name,
                      std::string fallback) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_string()) {
    wrongType(name);
  }
  return {value->as_string().data(), value->as_string().size()};
}

std::int64_t integerField(const boost::json::object& object, std::string_view name,
                          std::int64_t fallback) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return fallback;
  }
  boost::json::error_code failure;
  const auto number = value->to_number<std::int64_t>(failure);
  if (failure) {
    wrongType(name);
  }
  return number;
}

double numberField(const boost::json::object& object, std::string_view name, double fallback) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return fallback;
  }
  boost::json::error_code failure;
  const double number = value->to_number<double>(failure);
  if (failure) {
    wrongType(name);
  }
  return number;
}

std::vector<std::string> textListField(const boost::json::object& object, std::string_view name) {
  std::vector<std::string> list;
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return list;
  }
  if (!value->is_array()) {
    wrongType(name);
  }
  for (const boost::json::value& item : value->as_array()) {
    if (!item.is_string()) {
      wrongType(name);
    }
    list.emplace_back(item.as_string().data(), item.as_string().size());
  }
  return list;
}

std::vector<boost::json::object> objectListField(const boost::json::object& object,
                                                 std::string_view name) {
  std::vector<boost::json::object> list;
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return list;
  }
  if (!value->is_array()) {
    wrongType(name);
  }
  for (const boost::json::value& item : value->as_array()) {
    if (!item.is_object()) {
      wrongType(name);
    }
    list.push_back(item.as_object());
  }
  return list;
}

boost::json::object objectField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_object()) {
    wrongType(name);
  }
  return value->as_object();
}

std::string readTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::string> readCompleteLines(const std::string& path) {
  const std::string text = readTextFile(path);
  std::vector<std::string> lines;
  std::size_t start = 0;
  std::size_t end = text.find('\n');
  while (end != std::string::npos) {
    lines.push_back(text.substr(start, end - start));
    start = end + 1;
    end = text.find('\n', start);
  }
  return lines;
}

}  // namespace switchsaddle::testbed
