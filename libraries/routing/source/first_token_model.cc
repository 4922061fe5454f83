#include "switchsaddle/routing/first_token_model.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** What one answer keeps of those before it: some fifty are in force. */
constexpr double RetainedShare = 0.98;
/** Guesses that stand for a first answer, until there are some: a short prompt and a long one. */
constexpr double GuessWeight = 0.2;
constexpr double GuessedBase = 0.02;
constexpr double GuessedPerToken = 5e-5;
constexpr double LongGuess = 4'000;
/** An answer counts as at most so many times the expected time, and a little more. */
constexpr double MostTimesExpected = 2.0;
constexpr double MostBeyond = 0.05;
/** Bounds of what is believed, in seconds. */
constexpr double LeastPerToken = 1e-6;
constexpr double MostPerToken = 2e-3;
constexpr double LeastBase = 0.002;
constexpr double MostBase = 0.5;

}  // namespace

FirstTokenModel::FirstTokenModel() {
  count(0, GuessedBase, GuessWeight);
  count(LongGuess, GuessedBase + LongGuess * GuessedPerToken, GuessWeight);
  fit();
}

void FirstTokenModel::add(double tokens, double seconds) {
  const double most = expect(tokens) * MostTimesExpected + MostBeyond;
  weight_ *= RetainedShare;
  tokens_ *= RetainedShare;
  seconds_ *= RetainedShare;
  tokens_squared_ *= RetainedShare;
  products_ *= RetainedShare;
  count(tokens, std::clamp(seconds, 0.0, most), 1.0);
  fit();
}

void FirstTokenModel::count(double tokens, double seconds, double weight) {
  weight_ += weight;
  tokens_ += weight * tokens;
  seconds_ += weight * seconds;
  tokens_squared_ += weight * tokens * tokens;
  products_ += weight * tokens * seconds;
}

void FirstTokenModel::fit() {
  const double spread = weight_ * tokens_squared_ - tokens_ * tokens_;
  if (spread > 0) {
    const double slope = (weight_ * products_ - tokens_ * seconds_) / spread;
    seconds_per_token_ = std::clamp(slope, LeastPerToken, MostPerToken);
  }
  const double base = (seconds_ - seconds_per_token_ * tokens_) / weight_;
  base_seconds_ = std::clamp(base, LeastBase, MostBase);
}

}  // namespace switchsaddle::routing
