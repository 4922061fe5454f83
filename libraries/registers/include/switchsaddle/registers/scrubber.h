#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/** Intervals and limits of a scrubber. */
struct ScrubberOptions {
  /** Pause between two comparisons of a page with a peer. */
  base::Duration page_interval = std::chrono::milliseconds(500);
  /** Maximum number of registers in one page. */
  std::uint32_t page_limit = 200;
  /** Pause between two verifications of the store's files. */
  base::Duration file_interval = std::chrono::seconds(60);
  /** Timeout of each request. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
};

/** Counters of a scrubber since its construction. */
struct ScrubberCounters {
  std::uint64_t pages = 0;
  std::uint64_t installed_here = 0;
  std::uint64_t installed_at_peers = 0;
  std::uint64_t proposed_again = 0;
  std::uint64_t damaged_records = 0;
  std::uint64_t rewrites = 0;
};

/**
 * Repairs registers in the background (anti-entropy). Compares the local acceptor's registers with
 * those of a randomly chosen peer, page by page, and copies registers that are missing or older on
 * either side under the same condition as an accept request. If the lagging acceptor has promised a
 * higher ballot, the register is proposed again.
 *
 * Also lets the store verify its files. Damaged registers are proposed again; until then, the
 * acceptor rejects prepare requests for them. The files are then rewritten, since the store would
 * discard this instance if it found a damaged file at the next start. Runs on the acceptor's
 * strand.
 */
class Scrubber {
 public:
  Scrubber(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
           Acceptor& acceptor, QuorumProposer& proposer, storage::RecordStore& store,
           ScrubberOptions options = {});
  Scrubber(const Scrubber&) = delete;
  Scrubber& operator=(const Scrubber&) = delete;

  /** @param other_records returns the records of the other users of the store, which a rewrite of
   * the complete state includes. */
  void setSharedStoreRecords(std::function<std::vector<storage::Record>()> other_records) {
    other_records_ = std::move(other_records);
  }
  void start();
  const ScrubberCounters& counters() const { return counters_; }

 private:
  void comparePage();
  void choosePeer();
  void onPeerPage(const transport::CallResult& result);
  void reconcile(const wire::RegisterScanReply& own, const wire::RegisterScanReply& peer);
  void installHere(const std::vector<wire::RegisterScanEntry>& entries);
  void installAtPeer(std::vector<wire::RegisterScanEntry> entries);
  void proposeAgain(const std::string& key);
  void verifyFiles();
  void onFilesVerified(base::ResultCode code, const std::vector<std::string>& damaged_records);
  void repairDamaged();
  /** Replaces the store's files, including the damaged ones, by the state in memory. */
  void rewriteFiles();

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  Acceptor& acceptor_;
  QuorumProposer& proposer_;
  storage::RecordStore& store_;
  ScrubberOptions options_;
  ScrubberCounters counters_;
  std::function<std::vector<storage::Record>()> other_records_;
  base::TimerPtr page_timer_;
  base::TimerPtr file_timer_;
  wire::AcceptorMember peer_;
  /** Last key of the previously compared page; empty at the start of a pass. */
  std::string cursor_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::registers
