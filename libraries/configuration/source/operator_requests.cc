#include "change_result_writer.h"
#include "object_reader.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr std::size_t DerivedIdDigits = 16;

std::string requireChangeId(ObjectReader& reader) {
  reader.required("change_id");
  std::string change_id = reader.text("change_id");
  if (change_id.empty() && reader.has("change_id")) {
    reader.fault("change_id", ResultCode::InvalidValue, "is empty");
  }
  return change_id;
}

/** @return an unambiguous concatenation: different lists give different texts. */
std::string joinFields(const std::vector<std::string>& fields) {
  std::string joined;
  for (const std::string& field : fields) {
    joined += std::to_string(field.size()) + ":" + field;
  }
  return joined;
}

std::string deriveSecret(const KeyRequest& request, const std::string& id,
                         const std::string& operator_key) {
  const std::string fields = joinFields({operator_key, request.change_id, id, request.tenant});
  // The inner hash hides the operator's key, the outer one prevents length extension.
  return sha256Hex("switchsaddle-key:" + sha256Hex(fields));
}

std::string renderKeyEntry(const std::string& hash, const std::string& tenant) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("sha256").string(hash);
  writer.name("tenant").string(tenant);
  writer.endObject();
  return writer.text();
}

}  // namespace

std::string parseEvacuationRequest(const std::string& body, std::vector<Fault>& faults) {
  const std::optional<JsonValue> value = parseJson(body, {}, "", faults);
  if (!value) {
    return {};
  }
  ObjectReader reader(*value, "", faults);
  std::string change_id = requireChangeId(reader);
  reader.finish();
  return change_id;
}

Change evacuationChange(const std::string& change_id, const std::string& zone, bool restore) {
  Change change;
  change.change_id = change_id;
  change.base_version = AnyBaseVersion;
  const std::string path = "evacuations/" + zone;
  if (restore) {
    change.remove.push_back(path);
  } else {
    change.set.push_back({path, "{}"});
  }
  return change;
}

KeyRequest parseKeyRequest(const std::string& body, std::vector<Fault>& faults) {
  KeyRequest request;
  const std::optional<JsonValue> value = parseJson(body, {}, "", faults);
  if (!value) {
    return request;
  }
  ObjectReader reader(*value, "", faults);
  request.change_id = requireChangeId(reader);
  request.tenant = reader.name("tenant");
  if (reader.has("id")) {
    request.id = reader.name("id");
  }
  if (reader.has("sha256")) {
    request.sha256 = reader.sha256("sha256");
  }
  reader.finish();
  return request;
}

KeyIssue issueKey(const KeyRequest& request, const std::string& operator_key) {
  KeyIssue issue;
  issue.id = request.id;
  if (issue.id.empty()) {
    issue.id = "key-" + sha256Hex(request.change_id).substr(0, DerivedIdDigits);
  }
  std::string hash = request.sha256;
  if (hash.empty()) {
    issue.secret = deriveSecret(request, issue.id, operator_key);
    hash = sha256Hex(issue.secret);
  }
  issue.change.change_id = request.change_id;
  issue.change.base_version = AnyBaseVersion;
  issue.change.set.push_back({"keys/" + issue.id, renderKeyEntry(hash, request.tenant)});
  return issue;
}

Change revokeKeyChange(const std::string& change_id, const std::string& id) {
  Change change;
  change.change_id = change_id;
  change.base_version = AnyBaseVersion;
  change.remove.push_back("keys/" + id);
  return change;
}

std::string renderKeyResult(const KeyIssue& issue, const ChangeResult& result) {
  if (!isCommitted(result.code)) {
    return renderChangeResult(result);
  }
  JsonWriter writer;
  writer.beginObject();
  writer.name("id").string(issue.id);
  if (!issue.secret.empty()) {
    writer.name("secret").string(issue.secret);
  }
  writeChangeFields(writer, result);
  writer.endObject();
  return writer.text();
}

}  // namespace switchsaddle::configuration
