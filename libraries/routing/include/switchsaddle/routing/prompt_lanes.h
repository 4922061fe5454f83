#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * Sorts prompts into lanes by their length, so that a long prompt delays only its like: while a
 * worker reads one, every token of the streams beside it comes late, and a short prompt that queues
 * behind it is late whole. The bounds are chosen so that each lane has an equal part of all prompt
 * tokens seen lately (size interval task assignment with equal load), which gives each an equal
 * part of the workers. Keeps a histogram over powers of two, halved every half-life. Strand of its
 * owner.
 */
class PromptLanes {
 public:
  static constexpr std::size_t MostLanes = 3;
  /** A lane needs this many workers at least. */
  static constexpr std::size_t WorkersEach = 2;
  /** Fewer prompts than this say nothing of their lengths. */
  static constexpr double FewestPrompts = 24;
  static constexpr base::Duration HalfLife = std::chrono::seconds(60);

  /** How many lanes so many workers are divided into. */
  static std::size_t lanesFor(std::size_t workers);
  /** The lane of the worker at this rank. */
  static std::size_t laneOfRank(std::size_t rank, std::size_t workers);

  void add(std::uint32_t prompt_tokens, base::TimePoint now);
  /** The lane of a prompt, of `lanes`; the shortest prompts have lane 0. */
  std::size_t laneOf(std::uint32_t prompt_tokens, std::size_t lanes) const;
  /** Whether enough prompts have been seen. */
  bool known() const { return prompts_ >= FewestPrompts; }

 private:
  /** Bins of a quarter of a power of two, up to 2^26 tokens. */
  static constexpr std::size_t BinsEach = 4;
  static constexpr std::size_t Bins = 26 * BinsEach;

  static std::size_t binOf(std::uint32_t prompt_tokens);
  void decay(base::TimePoint now);

  std::array<double, Bins> tokens_{};
  double total_ = 0;
  double prompts_ = 0;
  base::TimePoint decayed_at_{};
};

}  // namespace switchsaddle::routing
