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

/** The fault of a simulated worker. Shares of streams are 0 to 1. */
struct InjectedSymptom {
  double stalls = 0;
  double failures = 0;
  /** Factor of the time per event. */
  double slowness = 1;
  /** Present only in every other period of ten seconds. */
  bool intermittent = false;

  bool any() const { return stalls > 0 || failures > 0 || slowness > 1; }
};

/** The size, load and faults of a simulated fleet. */
struct FleetPlan {
  std::size_t fronts = 6;
  std::size_t workers = 20;
  double requests_per_s = 60;
  base::Duration time = std::chrono::seconds(90);
  /** By index of the worker. */
  std::map<std::size_t, InjectedSymptom> unhealthy;
  /** A healthy worker that receives all long prompts of one tenant. */
  std::optional<std::size_t> long_prompt_worker;
  /** This front itself stalls a share of its streams. */
  std::optional<std::size_t> unhealthy_front;
};

/** Unaggregated measurements of a worker, used by the classifiers that the ranking is compared
 * with. */
struct WorkerMeasurements {
  std::vector<double> events_per_s;
  std::vector<double> longest_pauses_s;
};

/**
 * Fronts that send streams to workers of a simple model, and a core that ranks the workers. The
 * interval between events of a stream varies only by noise, prefill on the same worker and injected
 * symptoms.
 */
class SimulatedFleet {
 public:
  SimulatedFleet(FleetPlan plan, std::uint64_t seed);
  void run();
  const HealthRanking& ranking() const { return ranking_; }
  const WorkerRank& rankOf(std::size_t worker) const;
  const WorkerMeasurements& measurementsOf(std::size_t worker) const {
    return measurements_[worker];
  }
  static std::string nameOf(std::size_t worker);

 private:
  struct Stream {
    base::TimePoint end;
    std::size_t front = 0;
    std::uint64_t number = 0;
    DispatchSample sample;

    bool operator>(const Stream& other) const { return end > other.end; }
  };
  struct Prefill {
    base::TimePoint start;
    base::Duration length;
  };

  /** Starts a stream of a random prompt. */
  void start();
  /** @return the worker's symptom if it is present now. */
  InjectedSymptom activeSymptom(std::size_t worker) const;
  /** Draws the measurements of a stream that starts now. */
  DispatchSample drawSample(std::size_t worker, std::size_t front);
  void finishUntil(base::TimePoint time);
  void reportToCores();
  bool isActive(const InjectedSymptom& symptom) const;
  base::Duration longestConcurrentPrefill(std::size_t worker, base::Duration stream_time) const;

  FleetPlan plan_;
  base::RandomSource random_;
  simulation::World world_;
  simulation::Process process_;
  std::vector<std::unique_ptr<EvidenceRecorder>> fronts_;
  EvidenceLedger ledger_;
  HealthRanking ranking_;
  std::vector<std::uint64_t> keys_;
  std::vector<std::vector<Prefill>> prefills_;
  std::vector<WorkerMeasurements> measurements_;
  std::priority_queue<Stream, std::vector<Stream>, std::greater<>> in_flight_;
};

}  // namespace switchsaddle::worker_health
