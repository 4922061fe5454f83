#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "contract_examples.h"
#include "golden_file.h"
#include "live_fleet.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::compatibility {
namespace {

using configuration::JsonKind;
using configuration::JsonValue;
using front::contract::Example;
using front::contract::LiveFleet;

std::string kindName(JsonKind kind) {
  switch (kind) {
    case JsonKind::Null:
      return "null";
    case JsonKind::Boolean:
      return "boolean";
    case JsonKind::Integer:
    case JsonKind::Number:
      return "number";
    case JsonKind::String:
      return "string";
    case JsonKind::Array:
      return "array";
    case JsonKind::Object:
      return "object";
  }
  return {};
}

/** Adds the path and kind of this value and all values in it; elements of an array share a path. */
void addForm(const JsonValue& value, const std::string& path, std::set<std::string>& form) {
  form.insert(path + ": " + kindName(value.kind));
  for (std::size_t index = 0; index < value.elements.size(); ++index) {
    const bool is_member = value.kind == JsonKind::Object;
    addForm(value.elements[index], path + (is_member ? "." + value.names[index] : "[]"), form);
  }
}

std::string jsonForm(const std::string& body) {
  std::vector<configuration::Fault> faults;
  const auto value = configuration::parseJson(body, {}, "", faults);
  if (!value) {
    return "not JSON\n";
  }
  std::set<std::string> form;
  addForm(*value, "", form);
  std::string text;
  for (const std::string& line : form) {
    text += line + "\n";
  }
  return text;
}

/** The names and types on a metrics page. */
std::string metricsForm(const std::string& body) {
  std::istringstream lines(body);
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    text += line.starts_with("# TYPE") ? line + "\n" : "";
  }
  return text;
}

http::Request requestOf(const std::string& id, const Example& example) {
  const bool is_read = id.starts_with("get");
  const bool is_removal = id == "restoreZone" || id == "finishMaintenance" || id == "revokeKey";
  http::Request request{is_read      ? "GET"
                        : is_removal ? "DELETE"
                                     : "POST",
                        example.target,
                        {},
                        example.body};
  const bool is_callers = id == "createCompletion" || id == "createOneShot";
  request.headers.push_back({"Authorization", is_callers ? "Bearer secret" : "Bearer operator"});
  if (example.has_idempotency_key) {
    request.headers.push_back({"Idempotency-Key", "contract"});
  }
  return request;
}

class PageFormTest : public testing::TestWithParam<std::string> {};

TEST_P(PageFormTest, EveryPageKeepsItsNamesAndKinds) {
  LiveFleet fleet;
  ASSERT_TRUE(fleet.begin());
  std::string text;
  for (const auto& [id, example] : front::contract::Examples) {
    const auto response = fleet.exchange(GetParam(), requestOf(id, example));
    ASSERT_TRUE(response) << id;
    text += "== " + id + " " + example.target + " " + std::to_string(response->status) + " " +
            std::string(response->header("Content-Type")) + "\n";
    if (response->header("Content-Type") == "application/json") {
      text += jsonForm(response->body);
    } else if (id == "getMetrics") {
      text += metricsForm(response->body);
    }
  }
  expectGolden("page_forms_" + GetParam() + ".txt", text);
}

INSTANTIATE_TEST_SUITE_P(Roles, PageFormTest, testing::Values("front", "core"),
                         [](const auto& role) { return role.param; });

}  // namespace
}  // namespace switchsaddle::compatibility
