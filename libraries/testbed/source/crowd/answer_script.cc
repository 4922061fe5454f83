#include "switchsaddle/testbed/crowd/answer_script.h"

#include <algorithm>

#include "switchsaddle/testbed/soak/wire_text.h"

namespace switchsaddle::testbed {

namespace {

constexpr std::string_view RequestPrefix = "misanswer-";
/** What a worker that sends without end sends at most in one answer. */
constexpr std::size_t EndlessBytes = 16U << 20U;
constexpr std::size_t FillerBytes = 64U << 10U;
constexpr std::size_t SmallEventBytes = 1U << 10U;
constexpr std::size_t LargeEventBytes = 300U << 10U;
/** Fields of one byte that fill a head of some 60 KB. */
constexpr int ManyFields = 15'000;
constexpr const char* Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(std::string_view text, std::size_t bytes) {
  std::string result;
  while (result.size() < bytes) {
    result += text;
  }
  return result;
}

AnswerScript endless(std::string name, std::string opening, std::string_view text) {
  return {std::move(name), std::move(opening), repeated(text, FillerBytes), EndlessBytes};
}

/** A chunk with an event of about this size. */
std::string eventChunk(std::size_t bytes) {
  // Without a number: an event that repeats a number ends a stream.
  return chunkText("data: " + std::string(bytes, 'e') + "\n\n");
}

std::vector<AnswerScript> createScripts() {
  const std::string chunked = Chunked;
  std::string many_fields;
  for (int field = 0; field < ManyFields; ++field) {
    many_fields += "a:\r\n";
  }
  return {
      endless("head", "", "Field: value\r\n"),
      endless("many-fields", many_fields + chunked, eventChunk(SmallEventBytes)),
      endless("interim", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"),
      endless("chunk-size", chunked, "0"),
      endless("chunk-extension", chunked + "1;", "extension"),
      endless("trailers", chunked + "0\r\n", "Trailer-Field: value\r\n"),
      endless("body", chunked, chunkText(std::string(FillerBytes, 'b'))),
      endless("until-close", "\r\n", "body"),
      endless("events", chunked, eventChunk(SmallEventBytes)),
      endless("large-events", chunked, eventChunk(LargeEventBytes)),
      endless("event-without-end", chunked, chunkText("data: " + std::string(FillerBytes, 'e'))),
      endless("noise", "\r\n\r\nHTTP/1.1 ", "\x01\x02 \r\n"),
  };
}

}  // namespace

const std::vector<AnswerScript>& answerScripts() {
  static const std::vector<AnswerScript> scripts = createScripts();
  return scripts;
}

std::string answerRequest(std::string_view name) {
  return std::string(RequestPrefix) + std::string(name) + "-end";
}

const AnswerScript* requestedAnswer(std::string_view text) {
  if (text.find(RequestPrefix) == std::string_view::npos) {
    return nullptr;
  }
  const auto& scripts = answerScripts();
  const auto found = std::ranges::find_if(scripts, [text](const AnswerScript& script) {
    return text.find(answerRequest(script.name)) != std::string_view::npos;
  });
  return found == scripts.end() ? nullptr : &*found;
}

}  // namespace switchsaddle::testbed
