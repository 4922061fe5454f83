#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/workers/kv_cache.h"

namespace switchsaddle::testbed {

/** The load of one tenant: rates in requests per second, and the models it requests. */
struct LoadTenant {
  std::string name;
  std::string key;
  double streams_per_s = 0;
  double one_shots_per_s = 0;
  std::string one_shot_service;
  std::vector<std::string> models;
};

/** A load burst: a tenant's rates are multiplied by `factor` from `from_s` until `to_s`, in seconds
 * since the start of the load. */
struct LoadBurst {
  /** Empty for all tenants. */
  std::string tenant;
  double factor = 1;
  double from_s = 0;
  double to_s = 0;
};

/** Reads "TENANT:FACTOR:FROM:TO", times in seconds, or "all:…"; throws InvalidValue. */
LoadBurst parseLoadBurst(const std::string& text);

/** What callers send, as read from a load file. */
struct LoadPlan {
  std::vector<LoadTenant> tenants;
  /** Number of prompt families. The prompts of a family share a chain of prefix segments; the
   * popularity of families follows Zipf's law. */
  std::uint32_t prefix_families = 20;
  double prefix_zipf = 1.0;
  std::uint32_t prefix_segments = 3;
  std::uint32_t segment_tokens = 400;
  std::uint32_t prompt_tokens = 100;
  std::uint32_t output_tokens = 60;
  /** Share of one-shot requests that are resent with the same key before the answer arrives. */
  double resend_share = 0.05;
  /** Share of the one-shot requests answered not-run that are resent with the same key. */
  double resend_refused_share = 0.3;
  base::Duration resend_delay = std::chrono::milliseconds(200);

  std::vector<LoadBurst> bursts;

  double requestsPerSecond() const;
  /** The factor for a tenant's rates at a time; 1 outside bursts. */
  double burstFactor(const std::string& tenant, double at_s) const;
  /** The first time after `at_s` at which a burst begins or ends; infinity if there is none. */
  double nextBurstChange(double at_s) const;
};

/** Throws base::Error with MalformedJson, MissingField or InvalidValue. */
LoadPlan parseLoadPlan(const std::string& text);

/** The kind of a request. */
enum class CallKind : std::uint8_t { Stream, OneShot };

/** One request of the load. */
struct Arrival {
  /** Time since the start of the load. */
  base::Duration at{};
  CallKind kind = CallKind::Stream;
  /** Index into LoadPlan::tenants. */
  std::size_t tenant = 0;
  std::string model;
  std::vector<PrefixSegment> segments;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 1;
  std::string service;
  std::string idempotency_key;
  /** Whether the request is always resent with the same key after the resend delay.
   */
  bool resent_early = false;
};

/**
 * Open-loop Poisson arrivals. Equal plans and seeds give equal arrivals. Idempotency keys contain
 * the seed, so runs with different seeds never share a key.
 */
class ArrivalGenerator {
 public:
  ArrivalGenerator(LoadPlan plan, std::uint64_t seed);
  Arrival next();

 private:
  /** The requests of one tenant and kind, an independent Poisson process. */
  struct Flow {
    std::size_t tenant = 0;
    CallKind kind = CallKind::Stream;
    double cumulative_rate = 0;
  };
  double exponential(double mean);
  void setRates();
  const Flow& drawFlow();
  std::uint32_t drawFamily();
  void fillStream(Arrival& arrival);
  void fillOneShot(Arrival& arrival);

  LoadPlan plan_;
  std::uint64_t seed_;
  base::RandomSource random_;
  std::vector<Flow> flows_;
  std::vector<double> cumulative_popularity_;
  double elapsed_s_ = 0;
  /** Time in seconds until which the rates of the flows are constant. */
  double rates_until_s_ = 0;
  std::uint64_t arrivals_ = 0;
};

}  // namespace switchsaddle::testbed
