#include "register_table.h"

#include <algorithm>
#include <utility>

#include "acceptor_records.h"

namespace switchsaddle::registers {

namespace {

/** Number of expiry checks that make up one pass over a large table. */
constexpr std::size_t ExpiryChecksPerPass = 600;
/** Minimum number of registers in one check. */
constexpr std::size_t MinimumRegistersPerCheck = 200;
/** Longest time, in seconds, between two updates of the stored running time. */
constexpr std::uint64_t RunningTimeStoreIntervalSeconds = 600;

}  // namespace

RegisterTable::RegisterTable(const base::Dispatcher& dispatcher)
    : dispatcher_(dispatcher), running_time_updated_at_(dispatcher.now()) {}

void RegisterTable::load(const std::map<std::string, std::string>& records) {
  const std::string prefix = RegisterRecordPrefix;
  states_.clear();
  for (const auto& [key, bytes] : records) {
    if (key.starts_with(prefix)) {
      states_[key.substr(prefix.size())] = decodeRegisterState(bytes);
    }
  }
  removed_ = {};
  const auto stored = records.find(RemovedRegistersRecord);
  if (stored != records.end()) {
    removed_ = decodeRemovedRegisters(stored->second);
  }
  // The running time is stored rarely. The register accepted last shows the least time for which
  // this acceptor must have run.
  for (const auto& [key, state] : states_) {
    removed_.running_s = std::max(removed_.running_s, state.accepted_at_s);
  }
  running_time_updated_at_ = dispatcher_.now();
  expiry_cursor_.clear();
}

const RegisterState* RegisterTable::find(const std::string& key) const {
  const auto found = states_.find(key);
  return found == states_.end() ? nullptr : &found->second;
}

RegisterTable::States::const_iterator RegisterTable::upperBound(const std::string& after) const {
  return after.empty() ? states_.begin() : states_.upper_bound(after);
}

wire::Ballot RegisterTable::promisedBallot(const std::string& key) const {
  const RegisterState* state = find(key);
  if (!mayExpire(key)) {
    return state == nullptr ? wire::Ballot{} : state->promised;
  }
  return state == nullptr ? removedFloor() : std::max(state->promised, removed_.inherited_floor);
}

wire::Ballot RegisterTable::removedFloor() const {
  return std::max(removed_.floor, removed_.inherited_floor);
}

RegisterState& RegisterTable::findOrInsert(const std::string& key) {
  const auto [found, is_new] = states_.try_emplace(key);
  if (is_new) {
    found->second.accepted_at_s = runningSeconds();
  }
  return found->second;
}

const RegisterState& RegisterTable::prepare(const std::string& key, const wire::Ballot& ballot) {
  RegisterState& state = findOrInsert(key);
  state.promised = ballot;
  return state;
}

void RegisterTable::accept(const std::string& key, const wire::Ballot& ballot,
                           const std::string& value, const std::vector<wire::Ballot>& lineage) {
  findOrInsert(key) = RegisterState{ballot, ballot, value, lineage, runningSeconds()};
}

RegisterTable::CopyResult RegisterTable::acceptCopy(const wire::RegisterScanEntry& copy) {
  const bool may_be_removed = find(copy.key) == nullptr && mayExpire(copy.key);
  if (may_be_removed && !copy.accepted.isZero() && copy.accepted <= removed_.floor) {
    return CopyResult::BelowFloor;
  }
  const wire::Ballot promise = std::max(copy.promised, promisedBallot(copy.key));
  RegisterState& state = findOrInsert(copy.key);
  CopyResult result = CopyResult::AlreadyCurrent;
  if (copy.accepted > state.accepted) {
    result = copy.accepted < state.promised ? CopyResult::PromisedHigher : CopyResult::Accepted;
  }
  if (result == CopyResult::Accepted) {
    accept(copy.key, copy.accepted, copy.value, copy.lineage);
  }
  state.promised = std::max(state.promised, promise);
  return result;
}

bool RegisterTable::inheritFloor(const wire::Ballot& floor) {
  if (floor <= removed_.inherited_floor) {
    return false;
  }
  removed_.inherited_floor = floor;
  return true;
}

bool RegisterTable::mayExpire(const std::string& key) const {
  return lifetime_source_ && lifetime_source_(key, {}).has_value();
}

std::uint64_t RegisterTable::runningSeconds() const {
  const auto since_update = std::chrono::duration_cast<std::chrono::seconds>(
      dispatcher_.now() - running_time_updated_at_);
  return removed_.running_s + static_cast<std::uint64_t>(since_update.count());
}

bool RegisterTable::hasExpired(const std::string& key, const RegisterState& state) const {
  const std::optional<base::Duration> lifetime = lifetime_source_(key, state.value);
  const std::uint64_t running = runningSeconds();
  const std::chrono::seconds age(running - std::min(running, state.accepted_at_s));
  return lifetime && age > *lifetime;
}

std::vector<std::string> RegisterTable::removeExpired(bool raise_floor) {
  std::vector<std::string> removed_keys;
  const std::size_t limit =
      std::max(MinimumRegistersPerCheck, states_.size() / ExpiryChecksPerPass);
  auto position = states_.upper_bound(expiry_cursor_);
  for (std::size_t checked = 0; checked < limit && position != states_.end(); ++checked) {
    const auto& [key, state] = *position;
    expiry_cursor_ = key;
    if (!hasExpired(key, state)) {
      ++position;
      continue;
    }
    if (raise_floor) {
      removed_.floor = std::max(removed_.floor, state.promised);
    }
    removed_keys.push_back(key);
    position = states_.erase(position);
  }
  if (position == states_.end()) {
    expiry_cursor_.clear();
  }
  return removed_keys;
}

bool RegisterTable::runningTimeIsStale() const {
  return runningSeconds() >= removed_.running_s + RunningTimeStoreIntervalSeconds;
}

storage::Record RegisterTable::record(const std::string& key) const {
  return {RegisterRecordPrefix + key, encodeRegisterState(states_.at(key)), false};
}

storage::Record RegisterTable::updateRemovedRecord() {
  removed_.running_s = runningSeconds();
  running_time_updated_at_ = dispatcher_.now();
  return removedRecord();
}

storage::Record RegisterTable::removedRecord() const {
  return {RemovedRegistersRecord, encodeRemovedRegisters(removed_), false};
}

}  // namespace switchsaddle::registers
