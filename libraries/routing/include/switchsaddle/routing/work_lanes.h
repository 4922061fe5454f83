#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/load_messages.h"

namespace switchsaddle::routing {

/**
 * Divides a pool's workers into a lane for kinds of work with long prompts and one for kinds with
 * short prompts, since a worker that prefills a long prompt decodes its streams slowly and delays
 * short prompts. All prompts of a kind use one lane, whatever their lengths, since they share
 * prefixes that should be prefilled only once. Kinds are divided at the largest ratio between
 * neighbouring mean lengths, if it is at least MinimumLengthRatio; the long lane's share of the
 * workers follows its share of the prefilled tokens, within bounds and in steps. Uses the work of
 * all fronts while the cores report it, so that fronts agree on the lanes; otherwise this front's
 * own. Runs on its owner's strand.
 */
class WorkLanes {
 public:
  WorkLanes() = default;
  WorkLanes(const WorkLanes&) = delete;
  WorkLanes& operator=(const WorkLanes&) = delete;

  /** Kinds whose mean lengths differ by a smaller ratio share their workers. */
  static constexpr double MinimumLengthRatio = 2.5;
  /** Bounds of the long lane's share of the workers. */
  static constexpr double MinimumLongShare = 0.25;
  static constexpr double MaximumLongShare = 0.7;
  /** Smaller pools are not divided. */
  static constexpr std::size_t MinimumWorkers = 4;
  /** Kinds with fewer prompts are not considered. */
  static constexpr double MinimumPrompts = 5;
  static constexpr base::Duration HalfLife = std::chrono::seconds(60);

  /** How long a report of the work of all fronts is used. */
  static constexpr base::Duration FleetLifetime = std::chrono::seconds(5);
  /** Shares of the workers are multiples of this, so that fronts agree on them. */
  static constexpr double ShareStep = 0.05;

  /** Counts a prompt; recomputes the lanes at intervals. */
  void add(std::uint64_t kind, std::uint32_t prompt_tokens, base::TimePoint now);
  /** Counts the tokens to be prefilled for a prompt that add() has counted. */
  void addPrefill(std::uint64_t kind, std::uint32_t tokens);
  /** @return this front's own work by kind. */
  std::vector<wire::WorkKindCounts> counts() const;
  /** Sets the work of all fronts by kind. */
  void setFleetCounts(const std::vector<wire::WorkKindCounts>& counts, base::TimePoint now);
  /** Whether the known kinds are divided into two lanes. */
  bool isDivided() const { return is_divided_; }
  /** @return the mean prompt tokens of a kind; zero for an unknown kind. */
  double meanTokens(std::uint64_t kind) const;
  /** Whether the kind belongs to the long lane; false for an unknown kind. */
  bool isLong(std::uint64_t kind) const;
  /** @return how many of the workers serve the short lane; all of them if the kinds are not
   * divided. */
  std::size_t shortWorkers(std::size_t workers) const;

 private:
  struct Kind {
    double prompts = 0;
    double tokens = 0;
    double prefill_tokens = 0;

    double mean() const { return tokens / prompts; }
    /** Tokens that workers prefill for the kind. */
    double work() const;
  };
  using Kinds = std::map<std::uint64_t, Kind>;

  void decay(base::TimePoint now);
  void divide();
  /** @return the kinds with enough prompts, by mean length. */
  std::vector<Kind> kindsByLength() const;
  void adjustLongShare(double target);

  /** This front's own work. */
  Kinds own_kinds_;
  base::TimePoint decayed_at_{};
  /** The work of all fronts, while it is known. */
  Kinds fleet_kinds_;
  base::TimePoint fleet_reported_at_{};
  /** The kinds that determine the lanes: `own_kinds_` or `fleet_kinds_`. */
  const Kinds* active_kinds_ = &own_kinds_;
  bool is_divided_ = false;
  /** Kinds of at least this mean length, in tokens, are long. */
  double minimum_long_tokens_ = 0;
  /** The long lane's share of the workers; kept until its target differs by more than a minimum. */
  double long_share_ = 0;
};

}  // namespace switchsaddle::routing
