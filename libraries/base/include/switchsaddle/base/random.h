#pragma once

#include <cstdint>
#include <random>

namespace switchsaddle::base {

/** Pseudo-random number generator; a seed determines the sequence. One per strand, not thread-safe.
 */
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  /** @return a generator seeded by the operating system. */
  static RandomSource fromSystem() {
    std::random_device device;
    return RandomSource((static_cast<std::uint64_t>(device()) << 32U) | device());
  }
  /** Uniform over all 64-bit values. */
  std::uint64_t next() { return engine_(); }
  /** Uniform in [0, bound). @param bound must be positive. */
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
  /** Uniform in [0, 1). */
  double uniform() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
  /** @return true with the given probability. */
  bool chance(double probability) { return uniform() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace switchsaddle::base
