#pragma once

namespace switchsaddle::routing {

/** What sending a prompt to one worker is expected to come to. */
struct ExpectedPlacement {
  double first_token_s = 0;
  /** Within this time the first token is in time. */
  double goal_s = 1;
  /** The prompt's size over the mean of its kind; a late large prompt weighs more. */
  double size = 1;
  /** Tokens of shared parts that this worker does not hold and others do. */
  double read_again = 0;
  /** Seconds of reading that the worker will have before it with this prompt: whoever comes next
   * waits for it. */
  double backlog_s = 0;
  /** Streams that run there, and the longest pause that they may have; zero: none is set. */
  double streams = 0;
  double gap_goal_s = 0;
  /** Seconds of reading before this prompt. */
  double queue_s = 0;
  /** This front has no open connection to the worker. */
  bool connects = false;
};

/**
 * The cost of a placement, in tokens of shared parts read again: the one unit that lateness,
 * reading again, connections and time are weighed in. A prompt stays with the worker that holds its
 * shared part until it would be late there; small ones go where a connection is open.
 */
double placementCost(const ExpectedPlacement& expected);

/** How sure it is that a first token expected after `first_token_s` comes late; 0 to 1. */
double lateness(double first_token_s, double goal_s);

}  // namespace switchsaddle::routing
