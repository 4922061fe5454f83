#pragma once

#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/worker_health/evidence_recorder.h"
#include "switchsaddle/worker_health/health_ranking.h"

namespace switchsaddle::worker_health {

/** What is wrong with a simulated worker. Parts of streams are 0 to 1. */
struct InjectedSymptom {
  double stalls = 0;
  double failures = 0;
  /** Times for an event are so many times as long. */
  double slowness = 1;
  /** Only in every other ten seconds. */
  bool intermittent = false;

  bool any() const { return stalls > 0 || failures > 0 || slowness > 1; }
};

struct FleetPlan {
  std::size_t fronts = 6;
  std::size_t workers = 20;
  double requests_per_s = 60;
  base::Duration time = std::chrono::seconds(90);
  /** By number of the worker. */
  std::map<std::size_t, InjectedSymptom> unhealthy;
  /** A tenant's long prompts all go to this worker, and its streams meet them there. */
  std::optional<std::size_t> decoy_worker;
  /** This front holds up a part of its streams itself. */
  std::optional<std::size_t> unhealthy_front;
};

/** What else could be measured of a worker, for the baselines. */
struct PlainMeasures {
  std::vector<double> events_per_s;
  std::vector<double> longest_pauses_s;
};

/**
 * Fronts that send streams to workers of a simple model, and a core that ranks these. A stream's
 * events come at the same pace but for noise, for prompts read beside it, and for what is planted.
 */
class SimulatedFleet {
 public:
  SimulatedFleet(FleetPlan plan, std::uint64_t seed);
  void run();
  const HealthRanking& ranking() const { return ranking_; }
  const WorkerRank& rankOf(std::size_t worker) const;
  const PlainMeasures& measuresOf(std::size_t worker) const { return measures_[worker]; }
  static std::string nameOf(std::size_t worker);

 private:
  struct Stream {
    base::TimePoint end;
    std::size_t front = 0;
    std::uint64_t number = 0;
    DispatchSample sample;

    bool operator>(const Stream& other) const { return end > other.end; }
  };
  struct Reading {
    base::TimePoint start;
    base::Duration length;
  };

  void start();
  void finishUntil(base::TimePoint time);
  void reportToCores();
  bool isUnhealthyNow(const InjectedSymptom& symptom) const;
  base::Duration longestReadingBeside(std::size_t worker, base::Duration stream_time) const;

  FleetPlan plan_;
  base::RandomSource random_;
  simulation::World world_;
  simulation::Process process_;
  std::vector<std::unique_ptr<EvidenceRecorder>> fronts_;
  EvidenceLedger ledger_;
  HealthRanking ranking_;
  std::vector<std::uint64_t> keys_;
  std::vector<std::vector<Reading>> readings_;
  std::vector<PlainMeasures> measures_;
  std::priority_queue<Stream, std::vector<Stream>, std::greater<>> under_way_;
};

}  // namespace switchsaddle::worker_health
