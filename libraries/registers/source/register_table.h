#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "register_state.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/registers/register_lifetime.h"
#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::registers {

/**
 * The registers of one acceptor in memory, and their stored records. The table changes memory only;
 * the caller commits the records of what it changed.
 *
 * Registers with a lifetime are removed once the acceptor has run for that long since it accepted
 * their value. For all removed registers together the table keeps one ballot, the floor: the
 * highest ballot promised for any of them, or the floor of the acceptors from which this one copied
 * its registers if that is higher. An absent register that may expire counts as promised at the
 * floor.
 *
 * Runs on the acceptor's strand.
 */
class RegisterTable {
 public:
  using States = std::map<std::string, RegisterState>;

  explicit RegisterTable(const base::Dispatcher& dispatcher);

  /**
   * Replaces the content by the stored records.
   * @throws base::Error with RecordCorrupt if a record cannot be decoded.
   */
  void load(const std::map<std::string, std::string>& records);
  /** Drops every register; the floor stays. */
  void clear() { states_.clear(); }

  std::size_t size() const { return states_.size(); }
  bool empty() const { return states_.empty(); }
  /** @return the register, or nullptr if the table does not have it. */
  const RegisterState* find(const std::string& key) const;
  /** The registers with keys above `after`, or all if `after` is empty, in key order. */
  States::const_iterator upperBound(const std::string& after) const;
  States::const_iterator end() const { return states_.end(); }
  /** @return the highest ballot promised for the key. For one that may expire it is at least the
   * inherited floor or, if the register is absent, the floor. */
  wire::Ballot promisedBallot(const std::string& key) const;
  /** @return the floor that a new member inherits when it copies from this acceptor. */
  wire::Ballot removedFloor() const;

  /** Promises the ballot. @return the register, with the value accepted before. */
  const RegisterState& prepare(const std::string& key, const wire::Ballot& ballot);
  void accept(const std::string& key, const wire::Ballot& ballot, const std::string& value,
              const std::vector<wire::Ballot>& lineage);

  /** Result of acceptCopy(). */
  enum class CopyResult {
    /** The copy is newer and was accepted. */
    Accepted,
    /** The table has the register at this ballot or a higher one. */
    AlreadyCurrent,
    /** A higher ballot is promised. */
    PromisedHigher,
    /** The register was removed here, perhaps after a promise above this ballot. */
    BelowFloor,
  };
  /** Accepts a register copied from another acceptor, under the same condition as an accept
   * request, and promises what the copy promises. */
  CopyResult acceptCopy(const wire::RegisterScanEntry& copy);
  /** Inherits the floor of other acceptors. @return whether it is higher than the one inherited
   * before. */
  bool inheritFloor(const wire::Ballot& floor);

  /** Sets the lifetimes of registers. Without a source, no register expires. */
  void setLifetimeSource(RegisterLifetimeSource source) { lifetime_source_ = std::move(source); }
  /** Whether registers with this key have a lifetime. */
  bool mayExpire(const std::string& key) const;
  /**
   * Checks the next share of the registers and removes those that have expired.
   * @param raise_floor false in tests only: the promises of the removed registers are then lost.
   * @return the keys removed.
   */
  std::vector<std::string> removeExpired(bool raise_floor);
  /** Whether the stored running time lags so far behind that a restart would lose much of it. */
  bool runningTimeIsStale() const;

  /** @return the record of a register that the table has. */
  storage::Record record(const std::string& key) const;
  /** Updates the running time to be stored. @return the record of the removed registers. */
  storage::Record updateRemovedRecord();
  /** @return the record of the removed registers as of the last update. */
  storage::Record removedRecord() const;

 private:
  RegisterState& findOrInsert(const std::string& key);
  bool hasExpired(const std::string& key, const RegisterState& state) const;
  /** Seconds that this acceptor has run, over all its incarnations. */
  std::uint64_t runningSeconds() const;

  const base::Dispatcher& dispatcher_;
  States states_;
  RemovedRegisters removed_;
  /** When the running time in `removed_` was last updated. */
  base::TimePoint running_time_updated_at_;
  /** Last key of the share that was last checked for expiry. */
  std::string expiry_cursor_;
  RegisterLifetimeSource lifetime_source_;
};

}  // namespace switchsaddle::registers
