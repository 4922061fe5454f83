#include "switchsaddle/configuration/change_json.h"

#include <array>
#include <charconv>

#include "change_result_writer.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr std::size_t DigestDigits = 16;

void writeTexts(JsonWriter& writer, std::string_view name, const std::vector<std::string>& texts) {
  writer.name(name).beginArray();
  for (const std::string& text : texts) {
    writer.string(text);
  }
  writer.endArray();
}

void writeError(JsonWriter& writer, ResultCode code, const std::string& message,
                const std::vector<Fault>& faults) {
  const base::ResultCodeInfo& info = base::describe(code);
  writer.name("error").beginObject();
  writer.name("code").unsignedInteger(static_cast<std::uint64_t>(code));
  writer.name("name").string(info.name);
  writer.name("message").string(message.empty() ? info.meaning : message);
  writer.name("retry_safe").boolean(info.retry_is_safe);
  writer.name("faults").raw(renderFaults(faults));
  writer.endObject();
}

}  // namespace

bool isCommitted(ResultCode code) {
  return code == ResultCode::Ok || code == ResultCode::CommittedNotYetInForce;
}

void writeChangeFields(JsonWriter& writer, const ChangeResult& result) {
  writer.name("version").unsignedInteger(result.version);
  writer.name("acknowledged").boolean(result.code == ResultCode::Ok && !result.dry_run);
  writer.name("repeated").boolean(result.repeated);
  writer.name("dry_run").boolean(result.dry_run);
  writer.name("code").unsignedInteger(static_cast<std::uint64_t>(result.code));
  writer.name("name").string(base::describe(result.code).name);
}

std::string digestText(std::uint64_t digest) {
  std::array<char, DigestDigits> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), digest, 16).ptr;
  const std::string digits(buffer.data(), end);
  return std::string(DigestDigits - digits.size(), '0') + digits;
}

std::string renderConfiguration(const Document& document) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("version").unsignedInteger(document.version);
  writer.name("digest").string(digestText(document.digest()));
  writer.name("document").raw(document.toJson());
  writer.endObject();
  return writer.text();
}

std::string renderHistory(const std::vector<HistoryEntry>& history) {
  JsonWriter writer;
  writer.beginObject().name("changes").beginArray();
  for (const HistoryEntry& entry : history) {
    writer.beginObject();
    writer.name("version").unsignedInteger(entry.version);
    writer.name("change_id").string(entry.change_id);
    writeTexts(writer, "set", entry.set);
    writeTexts(writer, "removed", entry.removed);
    writer.endObject();
  }
  writer.endArray().endObject();
  return writer.text();
}

std::string renderFaults(const std::vector<Fault>& faults) {
  JsonWriter writer;
  writer.beginArray();
  for (const Fault& fault : faults) {
    writer.beginObject();
    writer.name("path").string(fault.path);
    writer.name("code").unsignedInteger(static_cast<std::uint64_t>(fault.code));
    writer.name("message").string(fault.message);
    writer.endObject();
  }
  writer.endArray();
  return writer.text();
}

std::string renderError(ResultCode code, const std::string& message,
                        const std::vector<Fault>& faults) {
  JsonWriter writer;
  writer.beginObject();
  writeError(writer, code, message, faults);
  writer.endObject();
  return writer.text();
}

std::string renderChangeResult(const ChangeResult& result) {
  JsonWriter writer;
  writer.beginObject();
  if (isCommitted(result.code)) {
    writeChangeFields(writer, result);
  } else {
    writer.name("version").unsignedInteger(result.version);
    writer.name("repeated").boolean(result.repeated);
    writeError(writer, result.code, {}, result.faults);
  }
  writer.endObject();
  return writer.text();
}

std::string renderInForce(std::uint64_t version, std::uint64_t digest,
                          const std::vector<FrontInForce>& fronts) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("version").unsignedInteger(version);
  writer.name("digest").string(digestText(digest));
  writer.name("fronts").beginArray();
  for (const FrontInForce& front : fronts) {
    const bool is_in_force = front.applied_version == version && front.applied_digest == digest;
    writer.beginObject();
    writer.name("address").string(front.address);
    writer.name("instance").string(digestText(front.instance));
    writer.name("zone").string(front.zone);
    writer.name("applied_version").unsignedInteger(front.applied_version);
    writer.name("applied_digest").string(digestText(front.applied_digest));
    writer.name("in_force").boolean(is_in_force);
    writer.endObject();
  }
  writer.endArray().endObject();
  return writer.text();
}

}  // namespace switchsaddle::configuration
