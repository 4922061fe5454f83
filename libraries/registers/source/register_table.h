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
 * their value. The table then keeps one ballot for all of them, the floor: the highest ballot
 * promised for any register removed, or that the acceptors from which this one copied its registers
 * had as theirs. An absent register that may expire counts as promised at the floor.
 *
 * Runs on the acceptor's strand.
 */
class RegisterTable {
 public:
  using States = std::map<std::string, RegisterState>;

  explicit RegisterTable(const base::Dispatcher& dispatcher);

  /**
   * Replaces the content by the stored records.
   * @throws base::Error with RecordCorrupt where a record cannot be decoded.
   */
  void load(const std::map<std::string, std::string>& records);
  /** Drops every register; the floor stays. */
  void clear() { states_.clear(); }

  std::size_t size() const { return states_.size(); }
  bool empty() const { return states_.empty(); }
  /** @return the register, or nullptr where the table does not have it. */
  const RegisterState* find(const std::string& key) const;
  /** The registers with keys above `after`, or all where it is empty, in key order. */
  States::const_iterator upperBound(const std::string& after) const;
  States::const_iterator end() const { return states_.end(); }
  /** @return the highest ballot promised for the key; the floor where the register was removed. */
  wire::Ballot promisedBallot(const std::string& key) const;
  /** @return the floor that a new member copying from this acceptor takes over. */
  wire::Ballot removedFloor() const;

  /** Promises the ballot. @return the register, with what was accepted before. */
  const RegisterState& prepare(const std::string& key, const wire::Ballot& ballot);
  void accept(const std::string& key, const wire::Ballot& ballot, const std::string& value,
              const std::vector<wire::Ballot>& lineage);

  /** How the table took a register copied from another acceptor. */
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
  /** Accepts a copied register by the rule of an accept request. */
  CopyResult acceptCopy(const wire::RegisterScanEntry& copy);
  /** Takes over the floor of other acceptors. @return whether it is higher than that before. */
  bool inheritFloor(const wire::Ballot& floor);

  /** Without a source no register expires. */
  void setLifetimeSource(RegisterLifetimeSource source) { lifetime_source_ = std::move(source); }
  /** Whether registers with this key have a lifetime. */
  bool mayExpire(const std::string& key) const;
  /**
   * Checks the next share of the registers and removes those that have expired.
   * @param raise_floor false in tests only: then the promises of those removed are lost.
   * @return the keys removed.
   */
  std::vector<std::string> removeExpired(bool raise_floor);
  /** Whether the stored running time is so old that a restart would lose much of it. */
  bool runningTimeIsStale() const;

  /** @return the record of a register that the table has. */
  storage::Record record(const std::string& key) const;
  /** Brings the stored running time up to date. @return the record of the removed registers. */
  storage::Record updateRemovedRecord();
  /** @return the record of the removed registers as it was last brought up to date. */
  storage::Record removedRecord() const;

 private:
  RegisterState& findOrInsert(const std::string& key);
  bool hasExpired(const std::string& key, const RegisterState& state) const;
  /** Seconds that this acceptor has run, over all its incarnations. */
  std::uint64_t runningSeconds() const;

  const base::Dispatcher& dispatcher_;
  States states_;
  RemovedRegisters removed_;
  /** When the running time in `removed_` was last brought up to date. */
  base::TimePoint running_time_updated_at_;
  /** Last key of the share checked for expiry before. */
  std::string expiry_cursor_;
  RegisterLifetimeSource lifetime_source_;
};

}  // namespace switchsaddle::registers
