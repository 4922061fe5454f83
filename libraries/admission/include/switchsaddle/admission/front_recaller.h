#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** The outcome of the recall of one front. */
enum class RecallOutcome : std::uint8_t {
  /** The front released its idle slots and reported its allocations. */
  Reported,
  /** The front has seen a newer term; its report has no allocations. */
  StaleTerm,
  /** The process has ended: the connection is refused, or another instance replied. */
  FrontEnded,
  /** No reply; the front may still run. */
  TimedOut
};

/**
 * Sends SlotRecall to fronts for the ledger of one shard. Replies to recalls of an earlier term are
 * dropped. Runs on the control strand.
 */
class FrontRecaller {
 public:
  /** The report is valid for the outcome Reported only. */
  using Callback = std::function<void(RecallOutcome outcome, const wire::SlotReport& report)>;

  FrontRecaller(transport::PeerCalls& calls, std::uint32_t shard, base::Duration timeout)
      : calls_(calls), shard_(shard), timeout_(timeout) {}
  FrontRecaller(const FrontRecaller&) = delete;
  FrontRecaller& operator=(const FrontRecaller&) = delete;

  /** @param term of the recalls from now on; 0 between terms. */
  void setTerm(std::uint64_t term) { term_ = term; }
  /** @param branch the branch to recall; empty: all branches of the shard. */
  void recall(const FrontIdentity& front, const std::string& branch, Callback callback);

 private:
  static RecallOutcome outcomeOf(const FrontIdentity& front, const transport::CallResult& result);

  transport::PeerCalls& calls_;
  std::uint32_t shard_;
  base::Duration timeout_;
  std::uint64_t term_ = 0;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::admission
