#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/peer_comparison.h"

namespace switchsaddle::worker_health {

/** One request that goes to a worker. */
struct Dispatch {
  std::uint64_t worker = 0;
  std::uint64_t pool = 0;
  /** Requests of one kind of work are compared with each other. */
  std::uint64_t kind = 0;
  /** How long the worker is expected to read the prompt. */
  base::Duration prefill{};
};

/**
 * Counts what a front's dispatches came to, by worker and by pool, and says what the cores are to
 * hear of it: workers with failures or stalls, those the cores ask about, and some others in turn,
 * so that in a healthy fleet little is told. Runs on the control strand.
 */
class EvidenceRecorder {
 public:
  /** Bounds of one statement. */
  static constexpr std::size_t MaximumAccused = 6;
  static constexpr std::size_t MaximumWatched = 16;
  static constexpr std::size_t ReportedInTurn = 1;
  static constexpr base::Duration StatementInterval = std::chrono::milliseconds(450);
  /** A dispatch without a head for so long counts as failed, whatever becomes of it. */
  static constexpr base::Duration Overdue = std::chrono::milliseconds(2'500);

  explicit EvidenceRecorder(base::Dispatcher& dispatcher)
      : dispatcher_(dispatcher), started_at_(dispatcher.now()) {}

  /** Returns a number to be given back with what follows. */
  std::uint64_t onDispatch(const Dispatch& dispatch);
  /** The worker began to answer. */
  void onHead(std::uint64_t number);
  /** Once for each dispatch. */
  void onEnd(std::uint64_t number, const DispatchSample& sample);
  void setWatched(const std::vector<std::uint64_t>& workers);
  /** What is to be told now; empty where the last statement was a moment ago. */
  wire::HealthReport statement();
  std::uint32_t inFlight(std::uint64_t worker) const;

 private:
  struct Open {
    Dispatch dispatch;
    base::TimePoint at;
    bool answered = false;
    bool counted_as_failed = false;
  };
  struct Record {
    std::uint64_t pool = 0;
    DecayedCounts counts;
    std::uint32_t in_flight = 0;
    base::TimePoint last_used;
  };

  void count(const Dispatch& dispatch, const wire::HealthCounts& counts);
  void countOverdue();
  void forgetIdle();
  /** How much worse than the pool the worker did here; zero or less where it did not. */
  double excess(const Record& record, base::TimePoint now) const;
  std::vector<std::uint64_t> accused(base::TimePoint now) const;
  void tell(std::uint64_t worker, base::TimePoint now, wire::HealthReport& statement) const;

  base::Dispatcher& dispatcher_;
  base::TimePoint started_at_;
  PeerComparison comparison_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Record> workers_;
  std::map<std::uint64_t, DecayedCounts> pools_;
  std::set<std::uint64_t> watched_;
  base::TimePoint reported_at_{};
  /** The worker last told of in turn. */
  std::uint64_t turn_ = 0;
};

}  // namespace switchsaddle::worker_health
