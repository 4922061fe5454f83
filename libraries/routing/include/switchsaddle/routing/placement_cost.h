#pragma once

namespace switchsaddle::routing {

/** The expected effects of placing a prompt on one worker. */
struct ExpectedPlacement {
  double first_token_s = 0;
  /** Latency target of the first token. */
  double goal_s = 1;
  /** The prompt's tokens relative to the mean of its kind; a late large prompt costs more. */
  double relative_size = 1;
  /** Tokens of the shared prefix that this worker does not have in its cache. */
  double cache_miss_tokens = 0;
  /** Prefill backlog of the worker including this prompt, which later prompts wait for. */
  double backlog_s = 0;
  /** Streams in flight on the worker. */
  double streams = 0;
  /** Longest acceptable gap between events of a stream; zero: no target. */
  double gap_goal_s = 0;
  /** Prefill backlog before this prompt. */
  double queue_s = 0;
  /** Whether this front has no open connection to the worker. */
  bool opens_connection = false;
};

/**
 * The cost of a placement. Lateness, cache misses, connections and latency are expressed in one
 * unit: tokens of shared prefix that are prefilled again. A prompt stays with the worker that has
 * its prefix cached until it would be late there; a short prompt goes to a worker with an open
 * connection.
 */
double placementCost(const ExpectedPlacement& expected);

/** Estimated risk, 0 to 1, that a first token expected after `first_token_s` misses its target. */
double lateness(double first_token_s, double goal_s);

}  // namespace switchsaddle::routing
