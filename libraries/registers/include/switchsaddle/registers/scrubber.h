#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/** The pace of a scrubber. */
struct ScrubberOptions {
  /** Pause between two pages compared with a peer. */
  base::Duration page_interval = std::chrono::milliseconds(500);
  std::uint32_t page_limit = 200;
  /** Pause between two readings of the store's files. */
  base::Duration file_interval = std::chrono::seconds(60);
  base::Duration call_timeout = std::chrono::milliseconds(400);
};

/** Counters of a scrubber, since it was made. */
struct ScrubberCounters {
  std::uint64_t pages = 0;
  std::uint64_t installed_here = 0;
  std::uint64_t installed_at_peers = 0;
  std::uint64_t proposed_anew = 0;
  std::uint64_t damaged_records = 0;
  std::uint64_t rewrites = 0;
};

/**
 * Repairs registers in the background. Compares the local acceptor's registers with those of one
 * random member after the other, page by page, and copies what either lacks by the rule of the
 * accept round; where the lagging side has promised a higher ballot, the register is proposed anew.
 * Has the store read its files again, and has damaged registers proposed anew, before which the
 * acceptor makes no promise on them; the files are then written anew, so that a damaged one does
 * not cost the instance at the next start. Runs on the acceptor's strand.
 */
class Scrubber {
 public:
  Scrubber(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
           Acceptor& acceptor, QuorumProposer& proposer, storage::RecordStore& store,
           ScrubberOptions options = {});
  Scrubber(const Scrubber&) = delete;
  Scrubber& operator=(const Scrubber&) = delete;

  /** Records which others keep in the same store, for writing the whole state anew. */
  void setOtherRecords(std::function<std::vector<storage::Record>()> other_records) {
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
  void proposeAnew(const std::string& key);
  void readFiles();
  void repairDamaged();
  /** Replaces the store's files, the damaged among them, by the state in memory. */
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
  std::string cursor_;
  /** Expires with this object, so that callbacks do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::registers
