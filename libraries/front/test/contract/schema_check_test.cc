#include "schema_check.h"

#include <gtest/gtest.h>

namespace switchsaddle::front::contract {
namespace {

/** @return the violations of the schema `Thing` by a JSON text. */
std::vector<std::string> violations(const std::string& json) {
  const SchemaCheck check(YAML::Load(R"(
components:
  schemas:
    Name: { type: string, pattern: '^[a-z]+$' }
    Thing:
      type: object
      required: [name]
      additionalProperties: false
      properties:
        name: { $ref: '#/components/schemas/Name' }
        kind: { type: string, enum: [good, bad] }
        counts: { type: array, minItems: 1, items: { type: integer, minimum: 0 } }
        anything: {}
)"));
  std::vector<configuration::Fault> faults;
  const auto value = configuration::parseJson(json, {}, "", faults);
  return check.violations(YAML::Load("{ $ref: '#/components/schemas/Thing' }"), *value);
}

TEST(SchemaCheckTest, AcceptsValidDocuments) {
  EXPECT_TRUE(violations(R"({"name":"a","kind":"bad","counts":[0,7],"anything":null})").empty());
}

TEST(SchemaCheckTest, FindsEachKindOfViolation) {
  EXPECT_EQ(violations("{}"), std::vector<std::string>{"$: lacks the required member name"});
  EXPECT_EQ(violations("[]"), std::vector<std::string>{"$: is not of type object"});
  EXPECT_EQ(violations(R"({"name":"a","other":1})"),
            std::vector<std::string>{"$: has the unknown member other"});
  EXPECT_EQ(violations(R"({"name":"A"})"),
            std::vector<std::string>{"$.name: 'A' does not match the pattern"});
  EXPECT_EQ(violations(R"({"name":"a","kind":"odd"})"),
            std::vector<std::string>{"$.kind: 'odd' is not one of the enum values"});
  EXPECT_EQ(violations(R"({"name":"a","counts":[]})"),
            std::vector<std::string>{"$.counts: too few items"});
  EXPECT_EQ(violations(R"({"name":"a","counts":[1,-1,1.5]})"),
            (std::vector<std::string>{"$.counts[1]: below the minimum",
                                      "$.counts[2]: is not of type integer"}));
}

TEST(SchemaCheckTest, RejectsAnUnknownKeyword) {
  const SchemaCheck check(YAML::Load("{}"));
  EXPECT_THROW(check.violations(YAML::Load("{ oneOf: [] }"), {}), std::logic_error);
}

}  // namespace
}  // namespace switchsaddle::front::contract
