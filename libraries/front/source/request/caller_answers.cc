#include "request/caller_answers.h"

#include <vector>

#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::front {

using configuration::JsonWriter;

namespace {

constexpr std::uint32_t MillisecondsPerSecond = 1'000;

void writeError(JsonWriter& writer, base::ResultCode code, const ErrorDetails& details) {
  const base::ResultCodeInfo& info = base::describe(code);
  writer.name("error").beginObject();
  writer.name("code").unsignedInteger(static_cast<std::uint16_t>(code));
  writer.name("name").string(info.name);
  writer.name("message").string(details.message.empty() ? info.meaning : details.message);
  writer.name("retry_safe").boolean(info.retry_is_safe);
  if (!details.path.empty()) {
    writer.name("path").string(details.path);
  }
  writer.endObject();
}

/** Writes the worker's response: unchanged if it is JSON, else as a string. */
void writeAnswer(JsonWriter& writer, const std::string& answer) {
  std::vector<configuration::Fault> faults;
  const bool is_json =
      configuration::parseJson(answer, configuration::JsonLimits{}, "", faults).has_value();
  writer.name("answer");
  if (is_json) {
    writer.raw(answer);
  } else {
    writer.string(answer);
  }
}

}  // namespace

http::Response jsonAnswer(std::string body) {
  http::Response response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

http::Response errorAnswer(base::ResultCode code, const ErrorDetails& details) {
  JsonWriter writer;
  writer.beginObject();
  if (details.outcome) {
    writer.name("outcome").string(outcomeName(*details.outcome));
  }
  writeError(writer, code, details);
  writer.endObject();
  http::Response response = jsonAnswer(writer.text());
  response.status = base::describe(code).http_status;
  if (details.retry_after_ms > 0) {
    const std::uint32_t seconds =
        (details.retry_after_ms + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

http::Response oneShotAnswer(const OneShotAnswer& answer) {
  if (answer.outcome != Outcome::Ran) {
    const bool retry = base::describe(answer.code).retry_is_safe;
    return errorAnswer(answer.code, {answer.outcome, retry ? answer.retry_after_ms : 0, {}, {}});
  }
  JsonWriter writer;
  writer.beginObject();
  writer.name("outcome").string(outcomeName(answer.outcome));
  writer.name("replayed").boolean(answer.replayed);
  writeAnswer(writer, answer.answer);
  writer.endObject();
  return jsonAnswer(writer.text());
}

}  // namespace switchsaddle::front
