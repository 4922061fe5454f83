#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/wire/load_messages.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::routing {

/** One segment of a prompt's prefix, in order. */
struct PrefixSegment {
  std::string id;
  std::uint32_t tokens = 0;
};

/** The properties of a prompt that routing depends on. */
struct Prompt {
  std::string model;
  std::vector<PrefixSegment> prefix_segments;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t maximum_tokens = 0;
  /** Kind of work, such as a hash of the route; zero: unknown. */
  std::uint64_t kind = 0;
  /** Latency target of the first token. */
  base::Duration first_token_goal = std::chrono::seconds(1);
  /** Longest acceptable gap between two events of the stream; zero: no target. */
  base::Duration event_gap_goal{};
  /** Whether only this prompt has the last segment, so that no worker can have it cached. */
  bool last_segment_private = false;
};

/** How a placement was selected: the modes of ADR-0021. */
enum class SelectionMode : std::uint8_t { Scout, Exploit, BestPrior };

/** The worker, or prefill-to-decode pair, chosen for a prompt. */
struct Placement {
  SelectionMode mode = SelectionMode::BestPrior;
  /** The arm's signature: "worker" or "prefill>decode". */
  std::string arm;
  workers::Worker prefill;
  /** Set if the arm is a pair. */
  std::optional<workers::Worker> decode;
  /** Estimated time to the first token. */
  base::Duration first_token_estimate{};
  /** Prompt tokens expected in the worker's prefix cache. */
  std::uint32_t cached_tokens = 0;
  /** Estimated prefill time of the remaining prompt tokens. */
  base::Duration prefill_estimate{};
  /** Identifies the placement in complete() and recordFirstToken(). */
  std::uint64_t ticket = 0;
};

/** The outcome of one placement, as measured by the stream layer. */
struct Completion {
  std::uint64_t ticket = 0;
  bool failed = false;
  std::uint32_t output_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t uncached_tokens = 0;
  base::Duration time_to_first_token{};
  base::Duration total{};
  /** From the worker's Versions and Worker-Load headers; empty or zero if not sent. */
  std::string weights_version;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  /** Whether a Worker-Load header was sent. */
  bool has_load = false;
};

/** One row of GET /v1/routing. */
struct RoutingRow {
  std::string model;
  std::string arm;
  double tokens_per_second = 0;
  /** Tokens per second relative to the best proven arm. */
  double coefficient = 0;
  double expected_share = 0;
  std::uint64_t samples = 0;
  double mass = 0;
  /** "proven", "unsampled", "stale" or "decayed". */
  std::string status;
  std::uint64_t epoch = 0;
  double first_token_estimate_ms = 0;
  std::uint32_t in_flight = 0;
  double seconds_per_prefill_token = 0;
  double seconds_per_output_token = 0;
};

/**
 * ADR-0021's policy on one front. choose() is on the request path: it works in memory, makes no
 * network call and takes no lock. Each placement is ended by exactly one call of complete(). Runs
 * on the control strand.
 */
class Router {
 public:
  virtual ~Router() = default;
  virtual void setConfiguration(std::shared_ptr<const configuration::View> view) = 0;
  virtual void setWorkers(workers::WorkerSnapshotPtr snapshot) = 0;
  /** Sets the fronts with live sessions, this one included; they share the limits of slow start. */
  virtual void setFronts(const std::vector<base::NodeAddress>& fronts) = 0;
  /**
   * Places a prompt within the route's pool.
   *
   * @param excluded ids of workers already attempted for this prompt.
   * @return std::nullopt if no usable worker remains, or if all that remain are warming up and this
   * front's share of their limits is exhausted.
   */
  virtual std::optional<Placement> choose(const Prompt& prompt, const configuration::Route& route,
                                          const std::vector<std::string>& excluded) = 0;
  /** Ends a placement; unknown tickets are ignored. */
  virtual void complete(const Completion& completion) = 0;
  /** Reports that the first token of a placement was received. */
  virtual void recordFirstToken(std::uint64_t ticket) = 0;
  /** @return this front's requests in flight by worker, and the prompts it received by kind of
   * work. */
  virtual wire::FrontLoad exportLoads() const = 0;
  /** Sets the loads of the other fronts. */
  virtual void importLoads(const wire::FleetLoad& loads) = 0;
  /** @param model limits the rows to one model; empty: all models. */
  virtual std::vector<RoutingRow> table(const std::string& model) const = 0;
  /** @return recently measured scores, for dissemination. */
  virtual std::vector<wire::RouteScore> exportScores() const = 0;
  /** Merges scores of other fronts. */
  virtual void importScores(const std::vector<wire::RouteScore>& scores) = 0;
};

}  // namespace switchsaddle::routing
