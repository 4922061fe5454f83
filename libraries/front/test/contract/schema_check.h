#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::front::contract {

/**
 * Validates JSON values against the schemas of an OpenAPI document: type, required, properties,
 * additionalProperties, items, enum, pattern, lengths, minimum and $ref. Throws for a schema
 * keyword that it does not support, so that none is ignored silently.
 */
class SchemaCheck {
 public:
  explicit SchemaCheck(const YAML::Node& document) : document_(document) {}

  /** @return every violation with its path; empty if the value is valid. */
  std::vector<std::string> violations(const YAML::Node& schema,
                                      const configuration::JsonValue& value) const;
  /** @return the node that a $ref refers to, or the node itself. */
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
