#pragma once

#include <cstdint>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/metrics/histogram.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::core {

/** Counters of an ObservedProposer since its construction. */
struct RegisterCounters {
  std::uint64_t operations = 0;
  /** Operations that ended without a quorum. */
  std::uint64_t without_quorum = 0;
  /** Time from the start of an operation to its completion. */
  metrics::Histogram latency{metrics::roundTripBounds()};
};

/**
 * Decorates a proposer: counts and times its register operations, and reports to the operators each
 * operation that ended without a quorum. Runs on the control strand.
 */
class ObservedProposer : public registers::RegisterProposer {
 public:
  ObservedProposer(base::Dispatcher& dispatcher, registers::RegisterProposer& proposer,
                   base::IncidentSink& incidents);

  void change(const std::string& key, registers::ChangeFunction function,
              registers::RegisterCallback callback) override;
  void read(const std::string& key, registers::RegisterCallback callback) override;
  const RegisterCounters& counters() const { return counters_; }

 private:
  /** @return a callback that records the outcome and then calls `callback`. */
  registers::RegisterCallback observe(const std::string& key, registers::RegisterCallback callback);
  void onOutcome(const std::string& key, base::TimePoint begun_at, base::ResultCode code);

  base::Dispatcher& dispatcher_;
  registers::RegisterProposer& proposer_;
  base::IncidentSink& incidents_;
  RegisterCounters counters_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
