#include "switchsaddle/routing/chain_rate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace switchsaddle::routing {

namespace {

/** Counters are rescaled above this weight, before they lose precision as floats. */
constexpr double MaximumWeight = 1e6;

}  // namespace

ChainRate::ChainRate() : counts_(Rows * Columns) {}

std::array<std::size_t, ChainRate::Rows> ChainRate::cellsOf(std::uint64_t chain) {
  return {static_cast<std::size_t>(chain % Columns),
          Columns + static_cast<std::size_t>((chain >> 32U) % Columns)};
}

double ChainRate::weightAt(base::TimePoint now) const {
  const double age_s = std::chrono::duration<double>(now - scaled_at_).count();
  return std::exp2(age_s / HalfLifeSeconds);
}

void ChainRate::rescale(base::TimePoint now) {
  const double weight = weightAt(now);
  for (float& count : counts_) {
    count = static_cast<float>(count / weight);
  }
  scaled_at_ = now;
}

void ChainRate::add(std::uint64_t chain, base::TimePoint now) {
  if (weightAt(now) > MaximumWeight) {
    rescale(now);
  }
  const auto weight = static_cast<float>(weightAt(now));
  for (const std::size_t cell : cellsOf(chain)) {
    counts_[cell] += weight;
  }
}

double ChainRate::perSecond(std::uint64_t chain, base::TimePoint now) const {
  const auto cells = cellsOf(chain);
  const float count = std::min(counts_[cells[0]], counts_[cells[1]]);
  return count / weightAt(now) * std::numbers::ln2 / HalfLifeSeconds;
}

double ChainRate::lowerBoundPerSecond(std::uint64_t chain, base::TimePoint now) const {
  constexpr double Deviations = 2.0;
  constexpr double SecondsOfCount = HalfLifeSeconds / std::numbers::ln2;
  const double count = perSecond(chain, now) * SecondsOfCount;
  return std::max(0.0, count - Deviations * std::sqrt(count)) / SecondsOfCount;
}

}  // namespace switchsaddle::routing
