#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/workers/kv_cache.h"

namespace switchsaddle::testbed {

/** One tenant's part of the load. */
struct LoadTenant {
  std::string name;
  std::string key;
  double streams_per_s = 0;
  double one_shots_per_s = 0;
  std::string one_shot_service;
  std::vector<std::string> models;
};

/** A time in which a tenant sends many times its usual. */
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
  /** Families of prompts which share a chain of prefix parts; popularity follows Zipf's law. */
  std::uint32_t prefix_families = 20;
  double prefix_zipf = 1.0;
  std::uint32_t prefix_segments = 3;
  std::uint32_t segment_tokens = 400;
  std::uint32_t prompt_tokens = 100;
  std::uint32_t output_tokens = 60;
  /** Share of one-shots which are sent again under the same key without waiting for the answer. */
  double resend_share = 0.05;
  /** Share of the one-shots refused as not-run which are sent again under the same key. */
  double resend_refused_share = 0.3;
  base::Duration resend_delay = std::chrono::milliseconds(200);

  std::vector<LoadBurst> bursts;

  double requestsPerSecond() const;
  /** By how much a tenant's rates are multiplied at a time. */
  double burstFactor(const std::string& tenant, double at_s) const;
  /** The next time after `at_s` at which a burst begins or ends; infinity where none does. */
  double nextBurstChange(double at_s) const;
};

/** Throws base::Error with MalformedJson, MissingField or InvalidValue. */
LoadPlan parseLoadPlan(const std::string& text);

/** What kind of request it is. */
enum class CallKind : std::uint8_t { Stream, OneShot };

/** One request of the load. */
struct Arrival {
  /** Since the start of the load. */
  base::Duration at{};
  CallKind kind = CallKind::Stream;
  /** Index into LoadPlan::tenants. */
  std::size_t tenant = 0;
  std::string model;
  std::vector<PrefixSegment> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 1;
  std::string service;
  std::string idempotency_key;
  /** Whether it is sent again soon under the same key, whatever becomes of it. */
  bool resent_early = false;
};

/**
 * Open-loop Poisson arrivals. Equal plans and seeds give equal arrivals; keys hold the seed, so
 * that runs of different seeds never share one.
 */
class ArrivalGenerator {
 public:
  ArrivalGenerator(LoadPlan plan, std::uint64_t seed);
  Arrival next();

 private:
  /** One independent flow of requests. */
  struct Flow {
    std::size_t tenant = 0;
    CallKind kind = CallKind::Stream;
    double cumulated_rate = 0;
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
  std::vector<double> cumulated_popularity_;
  double elapsed_s_ = 0;
  /** Until then the flows' rates stay as they are. */
  double rates_until_s_ = 0;
  std::uint64_t arrivals_ = 0;
};

}  // namespace switchsaddle::testbed
