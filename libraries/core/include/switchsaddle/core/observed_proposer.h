#pragma once

#include <cstdint>
#include <memory>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/metrics/histogram.h"
#include "switchsaddle/registers/proposer.h"

namespace switchsaddle::core {

/** What an ObservedProposer has seen since it was made. */
struct RegisterCounters {
  std::uint64_t operations = 0;
  /** Operations that ended without a quorum. */
  std::uint64_t without_quorum = 0;
  /** From the call to its end. */
  metrics::Histogram latency{metrics::roundTripBounds()};
};

/**
 * Passes register operations on to another proposer, measures them, and tells the operator of each
 * that ended without a quorum. Runs on the control strand.
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
  registers::RegisterCallback observe(const std::string& key, registers::RegisterCallback callback);
  void onOutcome(const std::string& key, base::TimePoint begun_at, base::ResultCode code);

  base::Dispatcher& dispatcher_;
  registers::RegisterProposer& proposer_;
  base::IncidentSink& incidents_;
  RegisterCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
