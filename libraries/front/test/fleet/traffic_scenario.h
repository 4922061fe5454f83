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

/** The enabled mechanisms; all, except in tests that show what each prevents. */
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
 * A complete simulated fleet under one-shots (each key sent several times, through any front) and
 * streams, while fronts and cores are killed, frozen, started and cut off, workers fail in every
 * way, one of two keys is revoked and one of two zones emptied. Judged only by what callers and
 * workers saw.
 */
class TrafficScenario {
 public:
  TrafficScenario(std::uint64_t seed, const TrafficOptions& options);
  TrafficResult run();

 private:
  struct OneShotCall {
    std::string key;
    base::TimePoint sent;
    std::shared_ptr<CallerWriter> writer;
    /** Incarnation of the front; calls of killed incarnations need no response. */
    int front = 0;
    int incarnation = 0;
    std::string caller_request_id;
  };
  struct StreamCall {
    std::shared_ptr<CallerWriter> writer;
    int front = 0;
    int incarnation = 0;
    std::string caller_request_id;
  };

  void schedule();
  void sendOneShot(int index);
  /** Kills or freezes the front at random while its latest one-shot is claimed or runs. */
  void strikeWithinOneShot(int front);
  void sendStream(int index);
  std::shared_ptr<CallerWriter> send(int front, http::Request request,
                                     const std::string& caller_request_id,
                                     const std::string& secret);
  void disturb();
  void disturbFront();
  void endSuspension(int number);
  /** Partitions a front from all cores and other fronts, or heals the partition. */
  void setReachable(int number, bool reachable);
  void disturbCore();
  void killFront(int front);
  void healAll();
  void revoke();
  void evacuate();
  void order(const http::Request& order_request, int attempts_left,
             std::function<void()> acknowledged);

  void checkServing();
  void checkHistory();
  void checkKeys();
  void checkStream(const StreamCall& call);
  /** When first attempts and retries were sent, in order. */
  struct RetryTimes {
    std::vector<base::TimePoint> firsts;
    std::vector<base::TimePoint> retries;
  };
  void checkRetries();
  void checkRetryTimes(const std::string& who, const RetryTimes& times,
                       base::Duration paying_window);
  void checkRevocation();
  void checkEvacuation();
  bool excused(int front, int incarnation) const;
  void violated(const std::string& rule, const std::string& detail);

  TrafficOptions options_;
  WorkerLedger ledger_;
  std::unique_ptr<simulation::Process> worker_;
  FakeSession always_serving_;
  std::unique_ptr<Fleet> fleet_;
  std::deque<OneShotCall> one_shots_;
  std::deque<StreamCall> streams_;
  int fronts_made_ = 0;
  std::vector<int> lives_ = std::vector<int>(Fronts, 0);
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
