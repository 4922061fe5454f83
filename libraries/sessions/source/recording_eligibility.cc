#include "recording_eligibility.h"

namespace switchsaddle::sessions {

RecordingEligibility::RecordingEligibility(const base::Dispatcher& dispatcher, const CoreView& view,
                                           base::Duration core_limit, SessionTableFaults faults)
    : dispatcher_(dispatcher), view_(view), core_limit_(core_limit), faults_(faults) {}

void RecordingEligibility::update() {
  const bool joining = view_.joining() && !faults_.ignore_epoch;
  if (!view_.mayVote() || joining) {
    eligible_since_.reset();
  } else if (!eligible_since_) {
    eligible_since_ = dispatcher_.now();
  }
}

bool RecordingEligibility::recovering() {
  update();
  if (!eligible_since_) {
    return true;
  }
  return !faults_.skip_recovery && dispatcher_.now() < *eligible_since_ + core_limit_;
}

bool RecordingEligibility::isCurrentEpoch(std::uint64_t set_epoch) const {
  return faults_.ignore_epoch || set_epoch == view_.setEpoch();
}

}  // namespace switchsaddle::sessions
