#include "switchsaddle/routing/first_token_model.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** Share of the earlier samples' weight that remains after a new sample; about the last fifty
 * samples determine the fit. */
constexpr double RetainedShare = 0.98;
/** Two initial samples, for no tokens and for a long prompt, with little weight against answers. */
constexpr double InitialWeight = 0.2;
constexpr double InitialBaseSeconds = 0.02;
constexpr double InitialSecondsPerToken = 5e-5;
constexpr double InitialLongPromptTokens = 4'000;
/** A sample is capped at this multiple of the expected time plus a margin. */
constexpr double MaximumTimesExpected = 2.0;
constexpr double CapMarginSeconds = 0.05;
/** Bounds of the fit. */
constexpr double MinimumSecondsPerToken = 1e-6;
constexpr double MaximumSecondsPerToken = 2e-3;
constexpr double MinimumBaseSeconds = 0.002;
constexpr double MaximumBaseSeconds = 0.5;

}  // namespace

FirstTokenModel::FirstTokenModel() {
  accumulate(0, InitialBaseSeconds, InitialWeight);
  accumulate(InitialLongPromptTokens,
             InitialBaseSeconds + InitialLongPromptTokens * InitialSecondsPerToken, InitialWeight);
  fit();
}

void FirstTokenModel::add(double tokens, double seconds) {
  const double cap_s = expectedSeconds(tokens) * MaximumTimesExpected + CapMarginSeconds;
  weight_ *= RetainedShare;
  tokens_ *= RetainedShare;
  seconds_ *= RetainedShare;
  tokens_squared_ *= RetainedShare;
  products_ *= RetainedShare;
  accumulate(tokens, std::clamp(seconds, 0.0, cap_s), 1.0);
  fit();
}

void FirstTokenModel::accumulate(double tokens, double seconds, double weight) {
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
    seconds_per_token_ = std::clamp(slope, MinimumSecondsPerToken, MaximumSecondsPerToken);
  }
  const double base = (seconds_ - seconds_per_token_ * tokens_) / weight_;
  base_seconds_ = std::clamp(base, MinimumBaseSeconds, MaximumBaseSeconds);
}

}  // namespace switchsaddle::routing
