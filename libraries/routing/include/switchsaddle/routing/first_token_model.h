#pragma once

namespace switchsaddle::routing {

/**
 * Models the time to the first token of a pool's workers without backlog: a base time for each
 * prompt and a time for each prefilled token. Fitted by weighted least squares over the last few
 * dozen answers. An answer far slower than expected was delayed by unknown load; the
 * time of each sample is therefore capped.
 */
class FirstTokenModel {
 public:
  FirstTokenModel();

  /**
   * Adds an answer.
   *
   * @param tokens prompt tokens that were prefilled.
   * @param seconds time to the first token, less the backlog before the prompt.
   */
  void add(double tokens, double seconds);
  double secondsPerToken() const { return seconds_per_token_; }
  /** Expected time of a prompt without tokens to prefill. */
  double baseSeconds() const { return base_seconds_; }
  double expectedSeconds(double tokens) const {
    return base_seconds_ + tokens * seconds_per_token_;
  }

 private:
  void accumulate(double tokens, double seconds, double weight);
  void fit();

  /** Weighted sums over the samples. */
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double products_ = 0;
  /** Result of fit(). */
  double seconds_per_token_ = 0;
  double base_seconds_ = 0;
};

}  // namespace switchsaddle::routing
