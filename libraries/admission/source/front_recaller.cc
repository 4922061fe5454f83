#include "switchsaddle/admission/front_recaller.h"

#include <utility>

namespace switchsaddle::admission {

void FrontRecaller::recall(const FrontIdentity& front, const std::string& branch,
                           Callback callback) {
  const auto on_result = [this, front, term = term_,
                          callback = std::move(callback)](const transport::CallResult& result) {
    if (term != term_) {
      return;
    }
    const auto* report = result.as<wire::SlotReport>();
    callback(outcomeOf(front, result), report == nullptr ? wire::SlotReport{} : *report);
  };
  calls_.call(front.address, wire::SlotRecall{term_, shard_, branch}, timeout_,
              callbacks_.guard(on_result));
}

RecallOutcome FrontRecaller::outcomeOf(const FrontIdentity& front,
                                       const transport::CallResult& result) {
  if (result.code == base::ResultCode::PeerUnreachable) {
    return RecallOutcome::FrontEnded;
  }
  const auto* report = result.as<wire::SlotReport>();
  if (report == nullptr) {
    return RecallOutcome::TimedOut;
  }
  if (report->front_instance != front.instance) {
    // Another process listens at the address, so this one has ended and its connections are closed.
    return RecallOutcome::FrontEnded;
  }
  return report->term_accepted ? RecallOutcome::Reported : RecallOutcome::StaleTerm;
}

}  // namespace switchsaddle::admission
