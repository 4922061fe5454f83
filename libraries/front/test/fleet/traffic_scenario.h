#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/chaos_workers.h"
#include "fleet/simulated_fleet.h"

namespace switchsaddle::front {

/** The zone that the scenario evacuates. */
inline constexpr const char* EvacuatedZone = "a";

/** The enabled mechanisms: all of them, except in tests that show what each one prevents. */
struct TrafficOptions {
  bool claims = true;
  bool session_check = true;
  /** A request that may have been sent is never treated as not sent. */
  bool lost_is_unknown = true;
  bool sequence_check = true;
  double retry_share = 0.1;
  WorkerFaultRates faults;
};

/** The result of one seed. */
struct TrafficResult {
  std::vector<std::string> violations;
  int one_shots_ran = 0;
  int one_shots_not_run = 0;
  int one_shots_unknown = 0;
  int streams_done = 0;
  int streams_broken = 0;
  std::size_t retries = 0;
  bool revocation_acknowledged = false;
  bool evacuation_acknowledged = false;

  bool found(const std::string& rule) const;
};

/**
 * A complete simulated fleet under load. Callers send streams and one-shot requests, each key
 * several times and through any front. Meanwhile fronts and cores are killed, frozen, restarted and
 * partitioned, workers fail, one of two keys is revoked and one of two zones evacuated. The checks
 * use only what callers and workers recorded.
 */
class TrafficScenario {
 public:
  TrafficScenario(std::uint64_t seed, const TrafficOptions& options);
  TrafficResult run();

 private:
  struct OneShotRecord {
    std::string key;
    base::TimePoint sent;
    std::shared_ptr<CallerWriter> writer;
    /** The front and its incarnation; requests to killed incarnations need no response. */
    int front = 0;
    int incarnation = 0;
    std::string caller_request_id;
  };
  struct StreamRecord {
    std::shared_ptr<CallerWriter> writer;
    int front = 0;
    int incarnation = 0;
    std::string caller_request_id;
  };

  void schedule();
  void sendOneShot(int index);
  /** Kills or freezes the front at random while its latest one-shot is claimed or runs. */
  void injectFaultDuringOneShot(int front);
  void sendStream(int index);
  std::shared_ptr<CallerWriter> send(int front, http::Request request,
                                     const std::string& caller_request_id,
                                     const std::string& secret);
  void injectFault();
  void injectFrontFault();
  void endSuspension(int number);
  /** Partitions a front from all cores and other fronts, or heals the partition. */
  void setReachable(int number, bool reachable);
  void injectCoreFault();
  void killFront(int front);
  void healAll();
  void revoke();
  void evacuate();
  void sendOperatorRequest(const http::Request& operator_request, int attempts_left,
                           std::function<void()> acknowledged);

  void checkServing();
  void checkHistory();
  void checkKeys();
  void checkStream(const StreamRecord& record);
  /** When first attempts and retries were sent, in order. */
  struct RetryTimes {
    std::vector<base::TimePoint> firsts;
    std::vector<base::TimePoint> retries;
  };
  void checkRetries();
  void checkRetryTimes(const std::string& front, const RetryTimes& times,
                       base::Duration first_attempts_window);
  void checkRevocation();
  void checkEvacuation();
  bool wasKilledSince(int front, int incarnation) const;
  void addViolation(const std::string& rule, const std::string& detail);

  TrafficOptions options_;
  WorkerHistory history_;
  std::unique_ptr<simulation::Process> worker_;
  FakeSession always_serving_;
  std::unique_ptr<Fleet> fleet_;
  std::deque<OneShotRecord> one_shots_;
  std::deque<StreamRecord> streams_;
  int fronts_made_ = 0;
  std::vector<int> incarnations_ = std::vector<int>(Fronts, 0);
  /** Frozen fronts that receive nothing until they resume. */
  std::set<int> suspended_;
  /** When the revocation was first acknowledged. */
  std::optional<base::TimePoint> revoked_;
  /** When the evacuation was first acknowledged. */
  std::optional<base::TimePoint> evacuated_;
  std::vector<std::shared_ptr<CallerWriter>> operator_writers_;
  TrafficResult result_;
};

}  // namespace switchsaddle::front
