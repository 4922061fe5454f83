#include <gtest/gtest.h>

#include <set>

#include "contract_examples.h"
#include "live_fleet.h"
#include "schema_check.h"
#include "source_directory.h"

namespace switchsaddle::front::contract {
namespace {

constexpr const char* OpenApiFile = SWITCHSADDLE_SOURCE_DIR "/api/openapi.yaml";
/** One byte above the servers' limit. */
constexpr std::size_t TooLargeBody = (4U << 20U) + 1;

/** One method on one path of the document. */
struct Operation {
  std::string id;
  std::string method;
  std::string path;
  YAML::Node node;
  bool is_secured = false;
};

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return static_cast<char>(std::toupper(character));
  });
  return text;
}

/** Whether nodes of this role serve the path; callers' operations are served by fronts only. */
bool serves(const std::string& role, const std::string& path) {
  static const std::set<std::string> front_only{"/v1/chat/completions", "/v1/one-shots", "/",
                                                "/v1/routing"};
  return role == "front" || !front_only.contains(path);
}

bool isCallerOperation(const Operation& operation) {
  return operation.node["tags"][0].as<std::string>() == "callers";
}

/** Tests the live server of one role against every operation of the document. */
class ContractTest : public testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    readOperations();
    ASSERT_TRUE(fleet_.begin());
  }

  void readOperations() {
    for (const auto& path : document_["paths"]) {
      for (const auto& method : path.second) {
        Operation operation;
        operation.id = method.second["operationId"].as<std::string>();
        operation.method = upper(method.first.as<std::string>());
        operation.path = path.first.as<std::string>();
        operation.node = method.second;
        const YAML::Node security = method.second["security"];
        operation.is_secured = !security.IsDefined() || security.size() > 0;
        if (serves(GetParam(), operation.path)) {
          operations_.push_back(operation);
        }
      }
    }
  }

  const Operation* find(const std::string& id) const {
    for (const Operation& operation : operations_) {
      if (operation.id == id) {
        return &operation;
      }
    }
    return nullptr;
  }

  /** @return the first valid example of the operation as a request, with its key. */
  http::Request validRequest(const Operation& operation) const {
    for (const auto& [id, example] : Examples) {
      if (id == operation.id) {
        return requestOf(operation, example);
      }
    }
    ADD_FAILURE() << "no example of " << operation.id;
    return {};
  }

  static http::Request requestOf(const Operation& operation, const Example& example) {
    http::Request request{operation.method, example.target, {}, example.body};
    if (operation.is_secured) {
      const char* key = isCallerOperation(operation) ? "secret" : "operator";
      request.headers.push_back({"Authorization", std::string("Bearer ") + key});
    }
    if (example.has_idempotency_key) {
      request.headers.push_back({"Idempotency-Key", "contract"});
    }
    return request;
  }

  /** Sends a request and checks status, content type and body against the operation. */
  int sendAndCheck(const Operation& operation, const http::Request& request) {
    const std::optional<http::Response> response = fleet_.exchange(GetParam(), request);
    if (!response) {
      ADD_FAILURE() << operation.id << ": no response";
      return 0;
    }
    const std::string status = std::to_string(response->status);
    const YAML::Node declared = operation.node["responses"][status];
    EXPECT_TRUE(declared.IsDefined())
        << operation.id << " returned the undeclared status " << status << ": " << response->body;
    if (declared.IsDefined()) {
      checkBody(operation, check_.resolve(declared), *response);
    }
    return response->status;
  }

  void checkBody(const Operation& operation, const YAML::Node& declared,
                 const http::Response& response) {
    const std::string_view type = response.header("Content-Type");
    const std::string kind(type.substr(0, type.find(';')));
    const YAML::Node content = declared["content"][kind];
    ASSERT_TRUE(content.IsDefined())
        << operation.id << " returned the undeclared content type " << kind;
    if (kind == "application/json") {
      expectMatch(operation.id, content["schema"], response.body);
    }
  }

  void expectMatch(const std::string& context, const YAML::Node& schema, const std::string& body) {
    std::vector<configuration::Fault> faults;
    const auto value = configuration::parseJson(body, {}, "", faults);
    ASSERT_TRUE(value) << context << ": " << body;
    for (const std::string& violation : check_.violations(schema, *value)) {
      ADD_FAILURE() << context << ": " << violation << " in " << body;
    }
  }

  /** Expects an error body with this status, for a request outside the declared operations. */
  void expectError(const http::Request& request, int status) {
    const std::optional<http::Response> response = fleet_.exchange(GetParam(), request);
    ASSERT_TRUE(response) << request.method << " " << request.target;
    EXPECT_EQ(response->status, status) << request.method << " " << request.target;
    const YAML::Node schema = document_["components"]["schemas"]["ErrorBody"];
    expectMatch(request.method + " " + request.target, schema, response->body);
  }

  YAML::Node bodySchema(const Operation& operation) const {
    const YAML::Node body = operation.node["requestBody"];
    return body.IsDefined() ? check_.resolve(body["content"]["application/json"]["schema"])
                            : YAML::Node();
  }

  /** Sends an invalid body and expects a 4xx status. */
  void expectRejected(const Operation& operation, const std::string& body) {
    http::Request request = validRequest(operation);
    request.body = body;
    const int status = sendAndCheck(operation, request);
    EXPECT_GE(status, 400) << operation.id << " accepted " << body.substr(0, 200);
    EXPECT_LT(status, 500) << operation.id << " accepted " << body.substr(0, 200);
  }

  YAML::Node document_ = YAML::LoadFile(OpenApiFile);
  SchemaCheck check_{document_};
  std::vector<Operation> operations_;
  LiveFleet fleet_;
};

TEST_P(ContractTest, EveryOperationReturnsTheDeclaredResponseForItsExamples) {
  std::set<std::string> seen;
  for (const auto& [id, example] : Examples) {
    const Operation* operation = find(id);
    if (operation == nullptr) {
      continue;
    }
    seen.insert(id);
    EXPECT_EQ(sendAndCheck(*operation, requestOf(*operation, example)), example.status)
        << id << " " << example.target;
  }
  for (const Operation& operation : operations_) {
    EXPECT_TRUE(seen.contains(operation.id)) << operation.id << " has no example";
  }
}

TEST_P(ContractTest, SecuredOperationsRejectAMissingAndAnUnknownKey) {
  for (const Operation& operation : operations_) {
    if (!operation.is_secured) {
      continue;
    }
    http::Request request = validRequest(operation);
    std::erase_if(request.headers,
                  [](const http::Header& header) { return header.name == "Authorization"; });
    EXPECT_EQ(sendAndCheck(operation, request), 401) << operation.id;
    request.headers.push_back({"Authorization", "Bearer nobody"});
    EXPECT_EQ(sendAndCheck(operation, request), 401) << operation.id;
  }
}

TEST_P(ContractTest, OperatorOperationsRejectATenantKey) {
  for (const Operation& operation : operations_) {
    if (!operation.is_secured || isCallerOperation(operation)) {
      continue;
    }
    http::Request request = validRequest(operation);
    request.headers = {{"Authorization", "Bearer secret"}};
    EXPECT_EQ(sendAndCheck(operation, request), 401) << operation.id;
  }
}

TEST_P(ContractTest, BodiesThatAreNotJsonAreRejected) {
  for (const Operation& operation : operations_) {
    if (!bodySchema(operation).IsMap()) {
      continue;
    }
    for (const char* body :
         {"", "{", "[]", "nothing", "{\"change_id\":1,\"change_id\":2}", "\xff\xfe"}) {
      expectRejected(operation, body);
    }
  }
}

TEST_P(ContractTest, BodiesThatAreTooLargeAreRejected) {
  for (const Operation& operation : operations_) {
    if (bodySchema(operation).IsMap()) {
      http::Request request = validRequest(operation);
      request.body = std::string(TooLargeBody, ' ');
      EXPECT_EQ(sendAndCheck(operation, request), 413) << operation.id;
    }
  }
}

TEST_P(ContractTest, UnknownFieldsAreRejected) {
  for (const Operation& operation : operations_) {
    if (!bodySchema(operation).IsMap()) {
      continue;
    }
    EXPECT_FALSE(bodySchema(operation)["additionalProperties"].as<bool>(true)) << operation.id;
    std::string body = validRequest(operation).body;
    body.pop_back();
    expectRejected(operation, body + ",\"nonsense\":1}");
  }
}

TEST_P(ContractTest, MissingAndMistypedFieldsAreRejected) {
  for (const Operation& operation : operations_) {
    const YAML::Node schema = bodySchema(operation);
    if (!schema.IsMap()) {
      continue;
    }
    std::vector<configuration::Fault> faults;
    const auto valid = configuration::parseJson(validRequest(operation).body, {}, "", faults);
    for (const YAML::Node& name : schema["required"]) {
      const auto field = name.as<std::string>();
      configuration::JsonValue incomplete = *valid;
      const auto position = std::find(incomplete.names.begin(), incomplete.names.end(), field);
      ASSERT_NE(position, incomplete.names.end()) << operation.id << " " << field;
      const auto index = position - incomplete.names.begin();
      configuration::JsonValue mistyped = incomplete;
      incomplete.names.erase(position);
      incomplete.elements.erase(incomplete.elements.begin() + index);
      expectRejected(operation, incomplete.canonical());
      const YAML::Node property = check_.resolve(schema["properties"][field]);
      if (property["type"]) {
        mistyped.elements[static_cast<std::size_t>(index)] = configuration::JsonValue{};
        expectRejected(operation, mistyped.canonical());
      }
    }
  }
}

TEST_P(ContractTest, OtherMethodsAreRejected) {
  for (const Operation& operation : operations_) {
    for (const char* method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
      bool is_declared = false;
      for (const Operation& other : operations_) {
        is_declared = is_declared || (other.path == operation.path && other.method == method);
      }
      if (!is_declared) {
        http::Request request = validRequest(operation);
        request.method = method;
        expectError(request, 405);
      }
    }
  }
}

TEST_P(ContractTest, UnknownPathsAreRejected) {
  for (const char* path : {"/v1", "/v1/nothing", "/v1/configuration/nothing", "/v1/zones/south",
                           "/v1/status/more", "/v1/keys/", "/v1/keys/a/b", "/metrics/more"}) {
    expectError({"GET", path, {{"Authorization", "Bearer operator"}}, ""}, 404);
  }
}

class CallerContractTest : public ContractTest {};

TEST_P(CallerContractTest, StreamResponseIsAnEventStreamThatEndsWithDone) {
  http::Request request = validRequest(*find("createCompletion"));
  request.body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":"a"}]})";
  const std::optional<http::Response> response = fleet_.exchange(GetParam(), request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->header("Content-Type"), "text/event-stream");
  EXPECT_TRUE(response->body.ends_with("data: [DONE]\n\n")) << response->body;
}

INSTANTIATE_TEST_SUITE_P(Fronts, CallerContractTest, testing::Values("front"));
INSTANTIATE_TEST_SUITE_P(Roles, ContractTest, testing::Values("front", "core"),
                         [](const auto& role) { return role.param; });

}  // namespace
}  // namespace switchsaddle::front::contract
