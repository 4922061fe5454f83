#pragma once

#include <string>

namespace switchsaddle::front {

/**
 * The names under which callers and workers exchange the typed fields of a forwarded request.
 * Defaults are the product's own; a deployment whose callers and workers use others gives its
 * table.
 */
struct ForwardHeaders {
  /** Names one attempt of a caller; workers echo it. */
  std::string request_id = "Request-Id";
  /** Milliseconds that the caller, or the front, still waits. */
  std::string deadline_ms = "Deadline-Ms";
  /** The caller's key, alone. Never passed on. */
  std::string key = "Caller-Key";
  /** The tenant that holds the key, as told to the worker. */
  std::string tenant = "Tenant";
  std::string model = "Model";
  /** "PROMPT,MOST OUT" in tokens. */
  std::string token_count = "Token-Count";
  /** "ID:TOKENS,..." of the prompt's parts in order; the last is the request's own. */
  std::string prefix_segments = "Prefix-Parts";
  /** 0 to 9, 0 first. */
  std::string priority = "Request-Priority";
  /** The worker instance meant; any other answers that it did not run the request. */
  std::string expect_instance = "Expect-Instance";
  /** In an answer: the worker did not run the request. */
  std::string not_run = "Not-Run";
  /** In an answer: the version of the weights that made it. */
  std::string weights_version = "Versions";
  /** The last event that the caller of a stream has; that of the event-stream format. */
  std::string last_event_id = "Last-Event-ID";
};

}  // namespace switchsaddle::front
