#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/load_messages.h"

namespace switchsaddle::routing {

/**
 * Divides the workers between kinds of work with long prompts and kinds with short ones. While a
 * worker reads a long prompt, every token of the streams beside it comes late, and a short prompt
 * that queues behind it is late whole. A kind goes as one, whatever the length of a single prompt,
 * since its prompts share parts that ought to be read once. The kinds are parted where the mean
 * lengths of two neighbours lie furthest apart, if they do so by LeastRatio; the long ones get a
 * part of the workers like their part of all tokens that workers read, within bounds and in steps.
 * While the cores tell what work all fronts get, lanes follow that, so that all fronts have the
 * same ones; otherwise this front's own work.
 * Strand of its owner.
 */
class WorkLanes {
 public:
  WorkLanes() = default;
  WorkLanes(const WorkLanes&) = delete;
  WorkLanes& operator=(const WorkLanes&) = delete;

  /** Means closer than this share their workers. */
  static constexpr double LeastRatio = 2.5;
  /** Bounds of the long lane's part of the workers. */
  static constexpr double MinimumLongShare = 0.25;
  static constexpr double MaximumLongShare = 0.7;
  /** Fewer workers are not divided. */
  static constexpr std::size_t FewestWorkers = 4;
  /** Fewer prompts of a kind say nothing of its length. */
  static constexpr double FewestPrompts = 5;
  static constexpr base::Duration HalfLife = std::chrono::seconds(60);

  /** How long the cores' word holds. */
  static constexpr base::Duration FleetLifetime = std::chrono::seconds(5);
  /** Parts of the workers are multiples of this, so that fronts agree on them. */
  static constexpr double ShareStep = 0.05;

  void add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now);
  /** Of a prompt that add() has counted, so many tokens are to be read. */
  void addRead(std::uint64_t kind, std::uint32_t tokens);
  /** The work that this front got. */
  std::vector<wire::WorkKindCounts> kinds() const;
  /** The work that all fronts got. */
  void setFleet(const std::vector<wire::WorkKindCounts>& kinds, base::TimePoint now);
  /** Whether the kinds known are parted into two lanes. */
  bool divided() const { return divided_; }
  /** Mean prompt tokens of a kind; zero where it is not known. */
  double meanTokens(std::uint64_t kind) const;
  /** Whether the kind has long prompts; false for a kind not known. */
  bool isLong(std::uint64_t kind) const;
  /** Of so many workers, how many serve the short kinds; all where there is no division. */
  std::size_t shortWorkers(std::size_t workers) const;

 private:
  struct Kind {
    double prompts = 0;
    double tokens = 0;
    double read = 0;

    double mean() const { return tokens / prompts; }
  };
  using Kinds = std::map<std::uint64_t, Kind>;

  void decay(base::TimePoint now);
  void divide();
  /** Tokens that workers read for the kind. */
  static double workOf(const Kind& kind);
  /** Gives the long kinds a part of the workers like `wanted`. */
  void adjustLongShare(double wanted);

  /** This front's own work. */
  Kinds kinds_;
  base::TimePoint decayed_at_{};
  /** All fronts' work, while it is known. */
  Kinds fleet_;
  base::TimePoint fleet_at_{};
  /** What the lanes follow: one of the two. */
  const Kinds* followed_ = &kinds_;
  bool divided_ = false;
  /** Mean length from which on a kind is long. */
  double long_from_ = 0;
  /** Part of the workers for the long kinds; kept while the work asks for nearly the same. */
  double long_share_ = 0;
};

}  // namespace switchsaddle::routing
