#include <algorithm>
#include <utility>

#include "acceptor_records.h"
#include "register_state.h"
#include "switchsaddle/registers/acceptor.h"

/** How an acceptor removes registers whose lifetime is over. */

namespace switchsaddle::registers {

namespace {

/** A pass over all registers takes about so many looks; each look is at this many at least. */
constexpr std::size_t LooksForAPass = 600;
constexpr std::size_t MinimumPerScan = 200;
/** The time that the acceptor has run is stored at least so often, in seconds. */
constexpr std::uint64_t LivedStoredEvery = 600;

}  // namespace

void Acceptor::setLifetimeSource(LifetimeSource source) {
  lifetime_source_ = std::move(source);
  expiry_timer_->enable(options_.expiry_interval);
}

bool Acceptor::mayExpire(const std::string& key) const {
  return lifetime_source_ && lifetime_source_(key, {}).has_value();
}

std::uint64_t Acceptor::livedSeconds() const {
  const auto in_this_life =
      std::chrono::duration_cast<std::chrono::seconds>(dispatcher_.now() - loaded_at_);
  return removed_->lived_s + static_cast<std::uint64_t>(in_this_life.count());
}

void Acceptor::loadRemoved(const storage::OpenedStore& opened) {
  *removed_ = {};
  const auto stored = opened.records.find(RemovedRegistersRecord);
  if (stored != opened.records.end()) {
    *removed_ = decodeRemovedRegisters(stored->second);
  }
  // What ran since the record was stored is known by the youngest register at least.
  for (const auto& [key, held] : registers_) {
    removed_->lived_s = std::max(removed_->lived_s, held.accepted_at_s);
  }
  loaded_at_ = dispatcher_.now();
  expiry_cursor_.clear();
}

storage::Record Acceptor::removedRecord() {
  removed_->lived_s = livedSeconds();
  loaded_at_ = dispatcher_.now();
  return {RemovedRegistersRecord, encodeRemovedRegisters(*removed_), false};
}

bool Acceptor::hasExpired(const std::string& key, const RegisterState& held) const {
  const std::optional<base::Duration> lifetime = lifetime_source_(key, held.value);
  const std::chrono::seconds age(livedSeconds() - std::min(livedSeconds(), held.accepted_at_s));
  return lifetime && age > *lifetime;
}

void Acceptor::removeExpired() {
  expiry_timer_->enable(options_.expiry_interval);
  if (!mayVote()) {
    return;
  }
  const std::size_t most = std::max(MinimumPerScan, registers_.size() / LooksForAPass);
  std::vector<storage::Record> records;
  auto position = registers_.upper_bound(expiry_cursor_);
  for (std::size_t seen = 0; seen < most && position != registers_.end(); ++seen) {
    expiry_cursor_ = position->first;
    if (!hasExpired(position->first, position->second)) {
      ++position;
      continue;
    }
    if (!options_.test_forget_removed) {
      removed_->floor = std::max(removed_->floor, position->second.promised);
    }
    records.push_back({RegisterRecordPrefix + position->first, {}, true});
    damaged_.erase(position->first);
    position = registers_.erase(position);
  }
  if (position == registers_.end()) {
    expiry_cursor_.clear();
  }
  const bool lived_long = livedSeconds() >= removed_->lived_s + LivedStoredEvery;
  if (records.empty() && !lived_long) {
    return;
  }
  // One commit: no register goes without the floor that stands for it.
  records.push_back(removedRecord());
  commit(std::move(records), [](bool) {});
}

}  // namespace switchsaddle::registers
