#pragma once

#include <cstdint>
#include <random>

namespace switchsaddle::base {

/** A seeded source of random numbers. One per strand; not thread-safe. */
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  /** Seeds from the operating system. */
  static RandomSource fromSystem() {
    std::random_device device;
    return RandomSource((static_cast<std::uint64_t>(device()) << 32U) | device());
  }
  std::uint64_t next() { return engine_(); }
  /** Uniform in [0, bound); bound must be positive. */
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
  /** Uniform in [0, 1). */
  double uniform() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
  bool chance(double probability) { return uniform() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace switchsaddle::base
