#include "switchsaddle/registers/scrubber.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "scan_pages.h"

namespace switchsaddle::registers {

namespace {

/** @return the entries of `page` up to the frontier that are missing or older in `other`, except
 * those that may have expired in `other`. */
std::vector<wire::RegisterScanEntry> newerEntries(const wire::RegisterScanReply& page,
                                                  const wire::RegisterScanReply& other,
                                                  const std::optional<std::string>& frontier,
                                                  const Acceptor& acceptor) {
  std::map<std::string, wire::Ballot> other_ballots;
  for (const wire::RegisterScanEntry& entry : page.entries) {
    if (acceptor.mayExpire(entry.key)) {
      other_ballots[entry.key] = other.removed_floor;
    }
  }
  for (const wire::RegisterScanEntry& entry : other.entries) {
    other_ballots[entry.key] = entry.accepted;
  }
  std::vector<wire::RegisterScanEntry> newer;
  for (const wire::RegisterScanEntry& entry : page.entries) {
    const bool in_page = !frontier || entry.key <= *frontier;
    if (in_page && entry.accepted > other_ballots[entry.key]) {
      newer.push_back(entry);
    }
  }
  return newer;
}

}  // namespace

Scrubber::Scrubber(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                   base::RandomSource& random, Acceptor& acceptor, QuorumProposer& proposer,
                   storage::RecordStore& store, ScrubberOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      random_(random),
      acceptor_(acceptor),
      proposer_(proposer),
      store_(store),
      options_(options),
      page_timer_(dispatcher_.createTimer([this] { comparePage(); })),
      file_timer_(dispatcher_.createTimer([this] { verifyFiles(); })) {}

void Scrubber::start() {
  page_timer_->enable(options_.page_interval);
  file_timer_->enable(options_.file_interval);
}

void Scrubber::choosePeer() {
  peer_ = {};
  std::vector<wire::AcceptorMember> peers = acceptor_.acceptorSet().members;
  std::erase_if(peers,
                [this](const auto& member) { return member.instance == acceptor_.instance(); });
  if (!peers.empty()) {
    peer_ = peers[random_.below(peers.size())];
  }
}

void Scrubber::comparePage() {
  page_timer_->enable(options_.page_interval);
  if (!acceptor_.mayVote()) {
    return;
  }
  repairDamaged();
  if (cursor_.empty()) {
    choosePeer();
  }
  if (peer_.instance == 0) {
    return;
  }
  calls_.call(
      peer_.address, wire::RegisterScanRequest{cursor_, options_.page_limit}, options_.call_timeout,
      callbacks_.guard([this](const transport::CallResult& result) { onPeerPage(result); }));
}

void Scrubber::onPeerPage(const transport::CallResult& result) {
  const auto* page = result.as<wire::RegisterScanReply>();
  const bool usable = page != nullptr && page->instance == peer_.instance && page->complete &&
                      acceptor_.mayVote() && (page->done || !page->entries.empty());
  if (!usable) {
    cursor_.clear();
    return;
  }
  ++counters_.pages;
  reconcile(acceptor_.scan(cursor_, options_.page_limit), *page);
}

void Scrubber::reconcile(const wire::RegisterScanReply& own, const wire::RegisterScanReply& peer) {
  std::optional<std::string> frontier;
  lowerFrontier(frontier, own);
  lowerFrontier(frontier, peer);
  installHere(newerEntries(peer, own, frontier, acceptor_));
  installAtPeer(newerEntries(own, peer, frontier, acceptor_));
  cursor_ = frontier.value_or("");
}

void Scrubber::installHere(const std::vector<wire::RegisterScanEntry>& entries) {
  if (entries.empty()) {
    return;
  }
  counters_.installed_here += entries.size();
  acceptor_.installRegisters(entries, {}, [](bool) {});
  for (const wire::RegisterScanEntry& entry : entries) {
    const auto own = acceptor_.entry(entry.key);
    if (!own || own->accepted < entry.accepted) {
      proposeAgain(entry.key);
    }
  }
}

void Scrubber::installAtPeer(std::vector<wire::RegisterScanEntry> entries) {
  if (entries.empty()) {
    return;
  }
  counters_.installed_at_peers += entries.size();
  calls_.call(peer_.address,
              wire::RegisterInstallRequest{std::move(entries), acceptor_.acceptorSet().epoch, {}},
              options_.call_timeout, [](const transport::CallResult&) {});
}

void Scrubber::proposeAgain(const std::string& key) {
  ++counters_.proposed_again;
  proposer_.rewrite(key, [](const RegisterOutcome&) {});
}

void Scrubber::verifyFiles() {
  file_timer_->enable(options_.file_interval);
  store_.scrub(callbacks_.guard(
      [this](base::ResultCode code, const std::vector<std::string>& damaged_records) {
        onFilesVerified(code, damaged_records);
      }));
}

void Scrubber::onFilesVerified(base::ResultCode code,
                               const std::vector<std::string>& damaged_records) {
  const bool was_read = code == base::ResultCode::Ok || code == base::ResultCode::RecordCorrupt;
  if (!was_read) {
    return;
  }
  for (const std::string& record_key : damaged_records) {
    ++counters_.damaged_records;
    acceptor_.markDamaged(record_key);
  }
  repairDamaged();
  if (code == base::ResultCode::RecordCorrupt) {
    rewriteFiles();
  }
}

void Scrubber::rewriteFiles() {
  std::vector<storage::Record> state = acceptor_.records();
  if (state.empty()) {
    return;
  }
  if (other_records_) {
    std::vector<storage::Record> other_records = other_records_();
    std::move(other_records.begin(), other_records.end(), std::back_inserter(state));
  }
  ++counters_.rewrites;
  store_.rewrite(std::move(state));
}

void Scrubber::repairDamaged() {
  for (const std::string& key : acceptor_.damagedKeys()) {
    proposeAgain(key);
  }
}

}  // namespace switchsaddle::registers
