#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::testbed {

/** Parses a JSON object that may contain comments. Throws base::Error with MalformedJson.
 */

boost::json::object parseObject(std::string_view text);
/** The field, or the fallback if it is absent. All functions below throw base::Error with
 * InvalidValue if the field has another type. */
std::string textField(const boost::json::object& object, std::string_view name,
                      std::string fallback = {});
std::int64_t integerField(const boost::json::object& object, std::string_view name,
                          std::int64_t fallback = 0);
double numberField(const boost::json::object& object, std::string_view name, double fallback = 0);
/** A list of strings; empty if absent. */
std::vector<std::string> textListField(const boost::json::object& object, std::string_view name);
/** A list of objects; empty if absent. */
std::vector<boost::json::object> objectListField(const boost::json::object& object,
                                                 std::string_view name);
/** A nested object; empty if absent. */
boost::json::object objectField(const boost::json::object& object, std::string_view name);

/** The whole content of a file. Throws base::Error with StorageFailed. */
std::string readTextFile(const std::string& path);
/** The complete lines of a file; an incomplete last line is ignored. */
std::vector<std::string> readCompleteLines(const std::string& path);

}  // namespace switchsaddle::testbed
