#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::front::contract {

/**
 * Holds JSON values against the schemas of an OpenAPI document: type, required, properties,
 * additionalProperties, items, enum, pattern, lengths, minimum and $ref. Throws for a word of the
 * schema language that it does not know, so that none is passed over.
 */
class SchemaCheck {
 public:
  explicit SchemaCheck(const YAML::Node& document) : document_(document) {}

  /** Every violation with its path; empty where the value is right. */
  std::vector<std::string> violations(const YAML::Node& schema,
                                      const configuration::JsonValue& value) const;
  /** The node that a $ref leads to, or the node itself. */
  YAML::Node resolve(const YAML::Node& node) const;

 private:
  using Violations = std::vector<std::string>;

  void check(const YAML::Node& schema, const configuration::JsonValue& value,
             const std::string& path, Violations& found) const;
  void checkObject(const YAML::Node& schema, const configuration::JsonValue& value,
                   const std::string& path, Violations& found) const;
  void checkArray(const YAML::Node& schema, const configuration::JsonValue& value,
                  const std::string& path, Violations& found) const;

  YAML::Node document_;
};

}  // namespace switchsaddle::front::contract
