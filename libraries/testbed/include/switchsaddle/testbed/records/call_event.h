#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed {

/** How a call ended, as its caller saw it. */
namespace call_end {
/** The whole answer arrived; for a stream, including [DONE]. */
inline constexpr const char* Done = "done";
/** The stream ended with an error event. */
inline constexpr const char* Error = "error";
/** A complete answer that refuses the request or reports an error. */
inline constexpr const char* Refused = "refused";
/** The connection was lost within the body, which the caller can detect. */
inline constexpr const char* Cut = "cut";
/** No answer: the connection could not be established. */
inline constexpr const char* NotConnected = "not-connected";
/** No answer arrived in time. */
inline constexpr const char* Lost = "lost";
/** The body ended normally, but without [DONE] or an error event. */
inline constexpr const char* Truncated = "silent";
}  // namespace call_end

/** One line of a load record: a request that a caller sent, or a part of its answer. */
struct CallEvent {
  /** Boot clock, milliseconds. */
  std::int64_t at_ms = 0;
  /** "sent", "head", "piece" (one chunk) or "answer" (once, when the call has ended). */
  std::string event;
  /** Number of the call; each resend has its own number. */
  std::uint64_t call = 0;
  /** "stream" or "one-shot". */
  std::string kind;
  std::string request_id;
  std::string idempotency_key;
  std::string tenant;
  std::string model;
  /** Address that the request was sent to. */
  std::string target;
  std::string run;
  /** Index of a chunk; -1 if it has none. */
  std::int64_t index = -1;
  int status = 0;
  /** Result code; 0 if there is none. */
  int code = 0;
  /** "ran", "not-run", "unknown" or empty. */
  std::string outcome;
  /** One of call_end, on "answer". */
  std::string end;
  std::uint64_t cached_tokens = 0;
};

/** The event as one line of JSON without the line end; empty fields are omitted. */
std::string toJsonLine(const CallEvent& event);
/** Throws base::Error. */
CallEvent parseCallEvent(const std::string& line);
/** All events of a record file; an incomplete last line is ignored. */
std::vector<CallEvent> readCallEvents(const std::string& path);

}  // namespace switchsaddle::testbed
