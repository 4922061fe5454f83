#include "switchsaddle/testbed/crowd/crowd_script.h"

#include "switchsaddle/testbed/crowd/answer_script.h"
#include "switchsaddle/testbed/soak/wire_text.h"

namespace switchsaddle::testbed {

namespace {

constexpr std::size_t FillerBlockBytes = 64U << 10U;
/** What a client that sends without end sends at most on one connection. */
constexpr std::size_t EndlessBytes = 8U << 20U;
/** Body length, and length of a frame between nodes, far over the limits or close to them. */
constexpr std::string_view OversizedLength = "1099511627776";
constexpr std::string_view LongFrameLength("\x03\xc0\x00\x00", 4);
/** A body that counts as small, less its last byte. */
constexpr std::size_t SmallBodyBytes = 32U << 10U;
/** Body of a stream, which the workers' stand-ins repeat in each event. */
constexpr std::size_t StreamBodyBytes = 256U << 10U;
/** Requests without a body that one client sends at once without reading the answers. */
constexpr std::size_t PipelinedRequests = 2'000;
/** Connections of one client that sends nothing, or little, on each. */
constexpr int ManyConnections = 15;
constexpr std::size_t HeaderBytesBelowLimit = 16'000;
/** The last chunk of a body and a trailer field. */
constexpr const char* TrailerPart = "0\r\nField: value\r\n\r\n";

std::string block(char character) {
  return std::string(FillerBlockBytes, character);
}

/** @return the text repeated to about one block. */
std::string blockOf(std::string_view text) {
  std::string repeated;
  while (repeated.size() < FillerBlockBytes) {
    repeated += text;
  }
  return repeated;
}

/** @return a request's head up to its framing header. */
std::string headOf(const CrowdRequests& requests, std::string_view framing) {
  return "POST " + requests.forwarded_target + " HTTP/1.1\r\nHost: " + requests.forwarded_host +
         "\r\nRequest-Id: crowd\r\nDeadline-Ms: 3000\r\n" + std::string(framing) + "\r\n\r\n";
}

std::string headWithLength(const CrowdRequests& requests, std::string_view length) {
  return headOf(requests, "Content-Length: " + std::string(length));
}

std::string chunkedHead(const CrowdRequests& requests) {
  return headOf(requests, "Transfer-Encoding: chunked");
}

/** A body of the length, all but its last byte. */
CrowdScript shortOf(const CrowdRequests& requests, std::size_t length) {
  return {.opening = headWithLength(requests, std::to_string(length)),
          .filler = block('b'),
          .filler_bytes = length - 1};
}

/** One chunk as long as the limit, all but its last byte. */
CrowdScript chunkShort(const CrowdRequests& requests) {
  return {.opening = chunkedHead(requests) + "400000\r\n",
          .filler = block('c'),
          .filler_bytes = requests.body_limit_bytes - 1};
}

CrowdScript wholeBody(const CrowdRequests& requests) {
  CrowdScript script = shortOf(requests, requests.body_limit_bytes);
  script.filler_bytes = requests.body_limit_bytes;
  return script;
}

CrowdScript endless(std::string opening, std::string_view text) {
  return {.opening = std::move(opening), .filler = blockOf(text), .filler_bytes = EndlessBytes};
}

/** @return a head of many short fields, without its end. */
std::string unfinishedHead(const CrowdRequests& requests) {
  std::string head = "POST " + requests.forwarded_target +
                     " HTTP/1.1\r\nHost: " + requests.forwarded_host + "\r\n";
  while (head.size() < HeaderBytesBelowLimit) {
    head += "a:\r\n";
  }
  return head;
}

/** Requests whose heads are as long as allowed, with bodies that stop short. */
CrowdScript longHeads(const CrowdRequests& requests) {
  return {.opening = unfinishedHead(requests) + "Content-Length: 100\r\n\r\n",
          .connections = ManyConnections};
}

CrowdScript pipelined(const std::string& request) {
  return {.filler = blockOf(request),
          .filler_bytes = request.size() * PipelinedRequests,
          .afterwards = CrowdAfterwards::StayWithoutReading};
}

/** A document of many small values: its parsed form is much larger than its text. */
CrowdScript smallValues(std::string opening, std::size_t length) {
  return {.opening = std::move(opening), .filler = blockOf("0,"), .filler_bytes = length};
}

CrowdScript byteByByte(std::string request) {
  return {.opening = std::move(request), .piece_bytes = 1};
}

std::string getRequest(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: own\r\n\r\n";
}

void addRequestKinds(const CrowdRequests& requests, std::vector<CrowdKind>& kinds) {
  const auto front = CrowdListener::FrontHttp;
  const std::string chunked = chunkedHead(requests);
  kinds.push_back({"trailers", front, endless(chunked + "0\r\n", "Trailer-Field: value\r\n")});
  kinds.push_back({"chunk-extension", front, endless(chunked + "1;", "extension")});
  kinds.push_back({"chunk-size", front, endless(chunked, "0")});
  kinds.push_back(
      {"announced-over-limit", front, endless(headWithLength(requests, OversizedLength), "body")});
  kinds.push_back(
      {"chunks-over-limit", front, endless(chunked, chunkText(std::string(1'000, 'd')))});
  kinds.push_back({"byte-by-byte", front, byteByByte(chunked + "1;a=b\r\nx\r\n" + TrailerPart)});
  kinds.push_back({"last-chunk-byte-by-byte", front, byteByByte(chunked + TrailerPart)});
  kinds.push_back({"stops-short", front, shortOf(requests, requests.body_limit_bytes)});
  kinds.push_back({"chunk-stops-short", front, chunkShort(requests)});
  kinds.push_back({"whole-bodies", front, wholeBody(requests)});
  CrowdScript small = shortOf(requests, SmallBodyBytes);
  small.connections = ManyConnections;
  kinds.push_back({"small-stops-short", front, small});
  kinds.push_back({"unfinished-heads",
                   front,
                   {.opening = unfinishedHead(requests), .connections = ManyConnections}});
  kinds.push_back({"long-heads", front, longHeads(requests)});
  CrowdScript unread = wholeBody(requests);
  unread.afterwards = CrowdAfterwards::StayWithoutReading;
  kinds.push_back({"unread-answers", front, unread});
  CrowdRequests streams = requests;
  streams.forwarded_target = requests.stream_target;
  CrowdScript unread_streams = shortOf(streams, StreamBodyBytes);
  unread_streams.filler_bytes = StreamBodyBytes;
  unread_streams.afterwards = CrowdAfterwards::StayWithoutReading;
  kinds.push_back({"unread-streams", front, unread_streams});
  kinds.push_back({"unread-pages", front, pipelined(getRequest("/metrics"))});
}

void addListenerKinds(const CrowdRequests& requests, std::vector<CrowdKind>& kinds) {
  const CrowdScript idle{.connections = ManyConnections};
  const CrowdScript frame{
      .opening = std::string(LongFrameLength), .filler = block('\0'), .filler_bytes = EndlessBytes};
  const CrowdScript body = shortOf(requests, requests.body_limit_bytes);
  kinds.push_back({"front-idle", CrowdListener::FrontHttp, idle});
  kinds.push_back({"readiness-idle", CrowdListener::FrontReadiness, idle});
  kinds.push_back({"readiness-stops-short", CrowdListener::FrontReadiness, body});
  kinds.push_back({"front-peer-idle", CrowdListener::FrontPeer, idle});
  kinds.push_back({"front-peer-frame", CrowdListener::FrontPeer, frame});
  kinds.push_back({"core-idle", CrowdListener::CoreHttp, idle});
  kinds.push_back({"core-stops-short", CrowdListener::CoreHttp, body});
  kinds.push_back({"core-peer-idle", CrowdListener::CorePeer, idle});
  kinds.push_back({"core-peer-frame", CrowdListener::CorePeer, frame});
}

void addDocumentKinds(const CrowdRequests& requests, std::vector<CrowdKind>& kinds) {
  const std::string prefix = "{\"model\":\"m\",\"messages\":[";
  const std::size_t length = requests.body_limit_bytes - FillerBlockBytes;
  const std::string head =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: own\r\nAuthorization: Bearer " +
      requests.tenant_key + "\r\nContent-Length: " + std::to_string(prefix.size() + length) +
      "\r\n\r\n";
  kinds.push_back({"small-values", CrowdListener::FrontHttp, smallValues(head + prefix, length)});
  CrowdScript change = wholeBody(requests);
  change.opening = "POST /v1/configuration/changes HTTP/1.1\r\nHost: own\r\nContent-Length: " +
                   std::to_string(requests.body_limit_bytes) + "\r\n\r\n";
  kinds.push_back({"front-changes", CrowdListener::FrontHttp, change});
  kinds.push_back({"core-changes", CrowdListener::CoreHttp, change});
}

/** Requests that one client sends one after the other to workers that misanswer. */
constexpr std::size_t MisansweredRequests = 5;

/** Requests below the prefix whose workers follow the script. */
CrowdScript misanswered(const CrowdRequests& requests, const std::string& prefix,
                        const AnswerScript& script) {
  CrowdRequests asking = requests;
  asking.forwarded_target = prefix + answerRequest(script.name);
  const std::string request = forwardedRequest(asking, "misanswered", "");
  return {.filler = request, .filler_bytes = request.size() * MisansweredRequests};
}

/** A completion of the product's own interface whose worker follows the script. */
CrowdScript misansweredCompletion(const CrowdRequests& requests, const AnswerScript& script) {
  const std::string body =
      R"({"user":")" + answerRequest(script.name) +
      R"(","model":"m","stream":true,"messages":[{"role":"user","content":"c"}]})";
  return {.opening =
              postText("/v1/chat/completions",
                       "Host: own\r\nAuthorization: Bearer " + requests.tenant_key + "\r\n", body)};
}

/** Answers of workers, to callers that read and to callers that do not. */
void addAnswerKinds(const CrowdRequests& requests, std::vector<CrowdKind>& kinds) {
  const auto front = CrowdListener::FrontHttp;
  for (const AnswerScript& script : answerScripts()) {
    const std::string name = "worker-" + script.name;
    const CrowdScript stream = misanswered(requests, requests.stream_target, script);
    kinds.push_back({name, front, misanswered(requests, requests.forwarded_target, script)});
    kinds.push_back({name + "-stream", front, stream});
    CrowdScript unread = stream;
    unread.afterwards = CrowdAfterwards::StayWithoutReading;
    kinds.push_back({name + "-unread", front, unread});
    CrowdScript completion = misansweredCompletion(requests, script);
    completion.afterwards = CrowdAfterwards::StayWithoutReading;
    kinds.push_back({name + "-completion", front, completion});
  }
}

}  // namespace

std::vector<CrowdKind> crowdKinds(const CrowdRequests& requests) {
  std::vector<CrowdKind> kinds;
  addRequestKinds(requests, kinds);
  addListenerKinds(requests, kinds);
  addDocumentKinds(requests, kinds);
  addAnswerKinds(requests, kinds);
  return kinds;
}

std::string forwardedRequest(const CrowdRequests& requests, std::string_view id,
                             const std::string& body) {
  const std::string headers = "Host: " + requests.forwarded_host +
                              "\r\nRequest-Id: " + std::string(id) + "\r\nDeadline-Ms: 3000\r\n";
  return postText(requests.forwarded_target, headers, body);
}

}  // namespace switchsaddle::testbed
