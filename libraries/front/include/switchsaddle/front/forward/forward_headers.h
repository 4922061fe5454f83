#pragma once

#include <string>

namespace switchsaddle::front {

/**
 * Names of the headers in which callers and workers exchange the typed fields of a forwarded
 * request. A deployment whose callers and workers use other names configures them.
 */
struct ForwardHeaders {
  /** Id of one attempt of a caller; workers repeat it in their responses. */
  std::string request_id = "Request-Id";
  /** Time until the sender's timeout, in milliseconds. */
  std::string deadline_ms = "Deadline-Ms";
  /** The caller's key. Never forwarded. */
  std::string key = "Caller-Key";
  /** To workers: the tenant that owns the key. */
  std::string tenant = "Tenant";
  std::string model = "Model";
  /** "PROMPT,MAXIMUM OUTPUT" in tokens. */
  std::string token_count = "Token-Count";
  /** "ID:TOKENS,..." of the prompt's prefix segments in order; the last one is not shared. */
  std::string prefix_segments = "Prefix-Parts";
  /** 0 to 9; 0 is the highest. */
  std::string priority = "Request-Priority";
  /** The worker instance that the request is for; others reject it without running it. */
  std::string expect_instance = "Expect-Instance";
  /** In a response: present if the worker did not run the request. */
  std::string not_run = "Not-Run";
  /** In a response: the version of the weights that generated it. */
  std::string weights_version = "Versions";
  /** Id of the last event that the caller of a stream received; from the event-stream format. */
  std::string last_event_id = "Last-Event-ID";
};

}  // namespace switchsaddle::front
