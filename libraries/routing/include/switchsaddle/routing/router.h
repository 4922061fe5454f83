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

/** One shared prefix part of a prompt, in order. */
struct PrefixSegment {
  std::string id;
  std::uint32_t tokens = 0;
};

/** What routing needs of a prompt. */
struct Prompt {
  std::string model;
  std::vector<PrefixSegment> prefix_segments;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t maximum_tokens = 0;
  /** Prompts of one kind of work, such as one route's, have the same; zero: not known. */
  std::uint64_t kind = 0;
  /** Within this time the first token is in time. */
  base::Duration first_token_goal = std::chrono::seconds(1);
  /** Longest pause between two events of a stream that is in time; zero: none is set. */
  base::Duration event_gap_goal{};
  /** The last part is this prompt's own: no other has it, so that none can have left it anywhere.
   */
  bool last_segment_private = false;
};

/** How a placement was chosen; ADR-0021's modes. */
enum class Mode : std::uint8_t { Scout, Exploit, BestPrior };

/** The worker, or prefill-to-decode pair, chosen for a prompt. */
struct Placement {
  Mode mode = Mode::BestPrior;
  /** The arm's signature: "worker" or "prefill>decode". */
  std::string arm;
  workers::Worker prefill;
  /** Set where the arm is a pair. */
  std::optional<workers::Worker> decode;
  /** Estimated time to the first token. */
  base::Duration first_token_estimate{};
  /** Prompt tokens that the worker is believed to hold already. */
  std::uint32_t cached_tokens = 0;
  /** How long the worker is expected to read the others. */
  base::Duration prefill_estimate{};
  std::uint64_t ticket = 0;
};

/** What the stream layer measured of one placement. */
struct Completion {
  std::uint64_t ticket = 0;
  bool failed = false;
  std::uint32_t output_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t uncached_tokens = 0;
  base::Duration time_to_first_token{};
  base::Duration total{};
  /** From the worker's Versions and Worker-Load headers, where sent. */
  std::string weights_version;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  bool has_load = false;
};

/** One row of GET /v1/routing. */
struct RoutingRow {
  std::string model;
  std::string arm;
  double tokens_per_second = 0;
  /** tps over the best proven arm's tps. */
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
 * ADR-0021's policy on one front. choose() is on the ordinary path: in memory, no network call, no
 * lock. Each placement is ended by exactly one complete(). Runs on the control strand.
 */
class Router {
 public:
  virtual ~Router() = default;
  virtual void setConfiguration(std::shared_ptr<const configuration::View> view) = 0;
  virtual void setWorkers(workers::WorkerSnapshotPtr snapshot) = 0;
  /** The fronts with live sessions, this one included, for the cold guard. */
  virtual void setFronts(const std::vector<base::NodeAddress>& fronts) = 0;
  /**
   * Places a prompt within the route's pool. `excluded` names workers already tried for this
   * prompt. Returns nothing where no usable worker remains, or where all that remain are cold and
   * this front has used up what it may send them.
   */
  virtual std::optional<Placement> choose(const Prompt& prompt, const configuration::Route& route,
                                          const std::vector<std::string>& excluded) = 0;
  virtual void complete(const Completion& completion) = 0;
  /** The first token of a placement has come. */
  virtual void noteFirstToken(std::uint64_t ticket) = 0;
  /** What this front has under way at workers, and what the other fronts have. */
  virtual wire::FrontLoad exportLoads() const = 0;
  virtual void importLoads(const wire::FleetLoad& loads) = 0;
  virtual std::vector<RoutingRow> table(const std::string& model) const = 0;
  /** Fresh scores of this front's own samples for dissemination, and those of others to be merged.
   */
  virtual std::vector<wire::RouteScore> exportScores() const = 0;
  virtual void importScores(const std::vector<wire::RouteScore>& scores) = 0;
};

}  // namespace switchsaddle::routing
