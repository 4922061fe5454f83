#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed {

/** How a call ended, as its caller saw it. */
namespace call_end {
/** The whole answer came; for a stream, its [DONE]. */
inline constexpr const char* Done = "done";
/** The stream ended with an error event. */
inline constexpr const char* Error = "error";
/** A complete answer that refuses the request or tells a failure. */
inline constexpr const char* Refused = "refused";
/** The connection was lost within the body: the caller sees that it is cut. */
inline constexpr const char* Cut = "cut";
/** No answer: the connection could not be made. */
inline constexpr const char* NotConnected = "not-connected";
/** No answer came, or not in time. */
inline constexpr const char* Lost = "lost";
/** The body ended properly, but with neither [DONE] nor an error event. */
inline constexpr const char* Truncated = "silent";
}  // namespace call_end

/** One line of a load record: what a caller sent or saw. */
struct CallEvent {
  /** Boot clock, milliseconds. */
  std::int64_t at_ms = 0;
  /** "sent", "head", "piece" or "answer"; each call has one "answer" once it has ended. */
  std::string event;
  /** Number of the call; a resend is a call of its own. */
  std::uint64_t call = 0;
  /** "stream" or "one-shot". */
  std::string kind;
  std::string request_id;
  std::string idempotency_key;
  std::string tenant;
  std::string model;
  /** Address it was sent to. */
  std::string target;
  std::string run;
  /** Index of a piece; -1 where it has none. */
  std::int64_t index = -1;
  int status = 0;
  /** Result code; 0 where none was given. */
  int code = 0;
  /** "ran", "not-run", "unknown" or empty. */
  std::string outcome;
  /** One of call_end, on "answer". */
  std::string end;
  std::uint64_t cached_tokens = 0;
};

/** The event as one line of JSON without the line end; empty fields are left out. */
std::string toJsonLine(const CallEvent& event);
/** Throws base::Error. */
CallEvent parseCallEvent(const std::string& line);
/** All events of a record file; a torn last line is left out. */
std::vector<CallEvent> readCallEvents(const std::string& path);

}  // namespace switchsaddle::testbed
