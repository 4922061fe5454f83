#include "register_transfer.h"

#include <algorithm>
#include <utility>

#include "acceptor_members.h"
#include "scan_pages.h"

namespace switchsaddle::registers {

namespace {

/** Merges one source's register: the value at the highest accepted ballot, the highest promise. */
void mergeEntry(wire::RegisterScanEntry& merged, const wire::RegisterScanEntry& entry) {
  const wire::Ballot promised = std::max(merged.promised, entry.promised);
  if (merged.key.empty() || merged.accepted < entry.accepted) {
    merged = entry;
  }
  merged.promised = promised;
}

}  // namespace

RegisterTransfer::RegisterTransfer(transport::PeerCalls& calls, QuorumProposer& proposer,
                                   wire::AcceptorSet joint, wire::AcceptorMember target,
                                   RegisterTransferOptions options)
    : calls_(calls),
      proposer_(proposer),
      joint_(std::move(joint)),
      target_(std::move(target)),
      options_(options) {}

void RegisterTransfer::start(std::function<void()> on_page, DoneCallback on_done) {
  on_page_ = std::move(on_page);
  on_done_ = std::move(on_done);
  requestPage();
}

void RegisterTransfer::cancel() {
  on_page_ = nullptr;
  on_done_ = nullptr;
}

void RegisterTransfer::end(bool complete) {
  if (on_done_) {
    const DoneCallback callback = std::exchange(on_done_, nullptr);
    callback(complete);
  }
}

void RegisterTransfer::requestPage() {
  wire::AcceptorSet sources;
  sources.members = joint_.previous;
  tally_.emplace(sources);
  replies_.clear();
  const std::uint64_t page = ++page_;
  const std::vector<base::NodeAddress> addresses = memberAddresses(sources);
  outstanding_ = addresses.size();
  for (const base::NodeAddress& address : addresses) {
    calls_.call(address, wire::RegisterScanRequest{cursor_, options_.page_limit},
                options_.call_timeout,
                [weak = weak_from_this(), page, address](const transport::CallResult& result) {
                  if (const auto self = weak.lock()) {
                    self->onPage(page, address, result);
                  }
                });
  }
}

void RegisterTransfer::onPage(std::uint64_t page, const base::NodeAddress& from,
                              const transport::CallResult& result) {
  if (page != page_ || !on_done_) {
    return;
  }
  --outstanding_;
  const auto* reply = result.as<wire::RegisterScanReply>();
  const bool usable = reply != nullptr && reply->complete && reply->set_epoch >= joint_.epoch &&
                      (reply->done || !reply->entries.empty());
  if (usable) {
    tally_->grant(from, reply->instance);
    replies_.push_back(*reply);
  }
  if (tally_->reached()) {
    ++page_;
    mergePage();
  } else if (outstanding_ == 0) {
    end(false);
  }
}

void RegisterTransfer::mergePage() {
  std::optional<std::string> frontier;
  for (const wire::RegisterScanReply& reply : replies_) {
    lowerFrontier(frontier, reply);
  }
  std::map<std::string, wire::RegisterScanEntry> merged;
  for (const wire::RegisterScanReply& reply : replies_) {
    removed_floor_ = std::max(removed_floor_, reply.removed_floor);
    for (const wire::RegisterScanEntry& entry : reply.entries) {
      if (!frontier || entry.key <= *frontier) {
        mergeEntry(merged[entry.key], entry);
      }
    }
  }
  entries_.clear();
  for (const auto& [key, entry] : merged) {
    entries_.push_back(entry);
    if (options_.skip_promises) {
      entries_.back().promised = entry.accepted;
    }
  }
  last_page_ = !frontier;
  cursor_ = frontier.value_or(cursor_);
  proposed_again_ = false;
  installPage();
}

void RegisterTransfer::installPage() {
  if (entries_.empty() && removed_floor_ == installed_floor_) {
    nextPage();
    return;
  }
  installed_floor_ = removed_floor_;
  calls_.call(target_.address, wire::RegisterInstallRequest{entries_, joint_.epoch, removed_floor_},
              options_.call_timeout,
              [weak = weak_from_this()](const transport::CallResult& result) {
                const auto self = weak.lock();
                if (self && self->on_done_) {
                  self->onInstalled(result);
                }
              });
}

void RegisterTransfer::onInstalled(const transport::CallResult& result) {
  const auto* reply = result.as<wire::RegisterInstallReply>();
  const bool is_target = reply != nullptr && reply->instance == target_.instance;
  if (is_target && reply->synced) {
    nextPage();
  } else if (!is_target || proposed_again_) {
    end(false);
  } else {
    proposeAgain(0);
  }
}

void RegisterTransfer::proposeAgain(std::size_t index) {
  if (index == entries_.size()) {
    proposed_again_ = true;
    installPage();
    return;
  }
  if (entries_[index].accepted.isZero()) {
    proposeAgain(index + 1);
    return;
  }
  proposer_.rewrite(entries_[index].key,
                    [weak = weak_from_this(), index](const RegisterOutcome& outcome) {
                      const auto self = weak.lock();
                      if (!self || !self->on_done_) {
                        return;
                      }
                      if (outcome.code != base::ResultCode::Ok) {
                        self->end(false);
                        return;
                      }
                      self->proposeAgain(index + 1);
                    });
}

void RegisterTransfer::nextPage() {
  if (on_page_) {
    on_page_();
  }
  if (last_page_) {
    end(true);
    return;
  }
  requestPage();
}

}  // namespace switchsaddle::registers
