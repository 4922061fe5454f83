#pragma once

namespace switchsaddle::routing {

/**
 * How long the workers of a pool take to the first token of a prompt when nothing is read before
 * it: a time for any prompt and a time for each token read. Fitted by least squares over the last
 * few dozen answers; answers that took far longer than expected met load that was not known, and
 * count with a bound.
 */
class FirstTokenModel {
 public:
  FirstTokenModel();

  /** An answer to a prompt of which `tokens` had to be read, `seconds` after it was sent, less what
   * was read before it. */
  void add(double tokens, double seconds);
  double secondsPerToken() const { return seconds_per_token_; }
  /** For a prompt of which nothing is to be read. */
  double baseSeconds() const { return base_seconds_; }
  double expect(double tokens) const { return base_seconds_ + tokens * seconds_per_token_; }

 private:
  void count(double tokens, double seconds, double weight);
  void fit();

  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double products_ = 0;
  double seconds_per_token_ = 0;
  double base_seconds_ = 0;
};

}  // namespace switchsaddle::routing
