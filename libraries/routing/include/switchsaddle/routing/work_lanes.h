#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * Divides the workers between kinds of work with long prompts and kinds with short ones. While a
 * worker reads a long prompt, every token of the streams beside it comes late, and a short prompt
 * that queues behind it is late whole. A kind goes as one, whatever the length of a single prompt,
 * since its prompts share parts that ought to be read once. The kinds are parted where the mean
 * lengths of two neighbours lie furthest apart, if they do so by LeastRatio; the long ones get a
 * part of the workers like their part of all prompt tokens, within bounds. Strand of its owner.
 */
class WorkLanes {
 public:
  /** Means closer than this share their workers. */
  static constexpr double LeastRatio = 2.5;
  /** Bounds of the long lane's part of the workers. */
  static constexpr double LeastPart = 0.25;
  static constexpr double LargestPart = 0.7;
  /** Fewer workers are not divided. */
  static constexpr std::size_t FewestWorkers = 4;
  /** Fewer prompts of a kind say nothing of its length. */
  static constexpr double FewestPrompts = 5;
  static constexpr base::Duration HalfLife = std::chrono::seconds(60);

  void add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now);
  /** Whether the kinds known are parted into two lanes. */
  bool divided() const { return divided_; }
  /** Whether the kind has long prompts; false for a kind not known. */
  /** Mean prompt tokens of a kind; zero where it is not known. */
  double meanTokens(std::uint64_t kind) const;
  bool isLong(std::uint64_t kind) const;
  /** Of so many workers, how many serve the short kinds; all where there is no division. */
  std::size_t shortWorkers(std::size_t workers) const;

 private:
  struct Kind {
    double prompts = 0;
    double tokens = 0;
  };

  void decay(base::TimePoint now);
  void divide();

  std::map<std::uint64_t, Kind> kinds_;
  base::TimePoint decayed_at_{};
  bool divided_ = false;
  /** Mean length from which on a kind is long. */
  double long_from_ = 0;
  /** Part of the workers for the long kinds; kept while the work asks for nearly the same. */
  double long_part_ = 0;
};

}  // namespace switchsaddle::routing
