#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/registers/register_lifetime.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::registers {

class AcceptorStorage;
class PendingAnswers;
class RegisterTable;

/** Limits and intervals of an acceptor. */
struct AcceptorOptions {
  /** Longest time of a commit; then the request is answered with Unavailable. */
  base::Duration commit_bound = std::chrono::milliseconds(500);
  /** Pause before each attempt to reopen a store that failed. */
  base::Duration reopen_pause = std::chrono::seconds(1);
  /** Maximum number of registers in one answer to a scan. */
  std::uint32_t scan_limit = 500;
  /** Pause between two checks for expired registers, each of a share of all registers. */
  base::Duration expiry_interval = std::chrono::seconds(1);
  /** Removes expired registers without raising the floor. For tests only: acknowledged values can
   * then be replaced by older ones. */
  bool test_skip_floor = false;
  /** Answers before the commit is synced. For tests only: a crash can then lose promises and
   * accepted values. */
  bool test_answer_before_sync = false;
};

/**
 * One acceptor of the replicated registers (Paxos, used as a register as in CASPaxos). Keeps the
 * promised ballot and the accepted value of each key, and the acceptor set. Invariants:
 *
 * - Memory advances in the order in which commits are submitted to the store, and an answer leaves
 *   only after the commit that contains everything the answer says.
 * - It votes only while its own instance is in its acceptor set, and only on requests of that set's
 *   epoch.
 * - After a failed commit it does not vote until it has reread its state from the store.
 * - It grants no ballot below the floor for a key whose register expired and was removed. A
 *   partitioned acceptor may still have the old value, but cannot replace a newer one with it:
 *   every quorum for the key contains an acceptor that has the old value or a floor at least as
 *   high as its ballot. A new member inherits the floor of the acceptors that it copies from.
 *
 * Runs on one strand.
 */
class Acceptor {
 public:
  using AcceptedListener = std::function<void(const std::string& key, const std::string& value)>;
  using SetListener = std::function<void(const wire::AcceptorSet& set)>;
  using InstallCallback = std::function<void(bool synced)>;
  using LifetimeSource = RegisterLifetimeSource;

  Acceptor(base::Dispatcher& dispatcher, transport::PeerCalls& calls, storage::RecordStore& store,
           journal::Journal& journal, AcceptorOptions options = {});
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  /**
   * Replaces the state by the content of the store.
   * @param initial_members the first acceptor set. Used if no set is stored and the instance of
   *   each member is known; otherwise Bootstrap commits the first set.
   * @throws base::Error with RecordCorrupt if a record cannot be decoded.
   */
  void load(const storage::OpenedStore& opened,
            const std::vector<wire::AcceptorMember>& initial_members = {});

  bool loaded() const;
  const wire::AcceptorSet& acceptorSet() const { return acceptor_set_; }
  std::uint64_t instance() const { return instance_; }
  /** Whether this acceptor's instance is in the acceptor set and its store is usable. */
  bool mayVote() const;
  /** Whether it has any register or an acceptor set. */
  bool hasState() const;
  /** @return the value accepted here, which need not be chosen or synced, or nullptr if there is
   * none. */
  const std::string* acceptedValue(const std::string& key) const;
  std::size_t registerCount() const;

  /** Sets the lifetimes of registers. Without a source, registers never expire. */
  void setLifetimeSource(LifetimeSource source);
  /** Whether registers with this key have a lifetime. */
  bool mayExpire(const std::string& key) const;
  /** @param listener called for each accepted value once it is synced. */
  void setAcceptedListener(AcceptedListener listener) { accepted_listener_ = std::move(listener); }
  /** @param listener called after the acceptor set has changed, before the change is synced. */
  void addSetListener(SetListener listener) { set_listeners_.push_back(std::move(listener)); }

  /**
   * Adopts the set if it is newer.
   * @param callback called once the set, or a newer one adopted before, is synced.
   */
  void installSet(const wire::AcceptorSet& set, InstallCallback callback);
  /**
   * Accepts registers copied from other acceptors, each under the same condition as an accept
   * request.
   * @param removed_floor floor of the acceptors they were copied from; zero in repairs.
   * @param callback called with true once every register is synced here at its ballot or a higher
   *   one; with false if one of them was rejected or the commit failed.
   */
  void installRegisters(const std::vector<wire::RegisterScanEntry>& entries,
                        const wire::Ballot& removed_floor, InstallCallback callback);
  /** @return a page of the registers with keys above `after`, in key order. */
  wire::RegisterScanReply scan(const std::string& after, std::uint32_t limit) const;
  /** @return this acceptor's state of the register, or std::nullopt if it has none. */
  std::optional<wire::RegisterScanEntry> entry(const std::string& key) const;

  /**
   * Records that the stored bytes of a record are damaged, and writes the record again from memory.
   * This acceptor then rejects prepare requests for the register until it has synced an accept
   * request, whose value comes from a majority.
   * @return the register's key, or std::nullopt if the record is not a register's.
   */
  std::optional<std::string> markDamaged(const std::string& record_key);
  /** Keys of the registers that are damaged and not yet repaired. */
  const std::set<std::string>& damagedKeys() const { return damaged_; }
  /**
   * Called for each failed commit of another user of the same store. The acceptor stops voting and
   * reopens the store after a pause, so that every user of it recovers.
   */
  void reportCommitFailure(base::ResultCode code);
  /** @return all records of this acceptor, as they are after the commits submitted so far; empty
   * while the store is unusable. */
  std::vector<storage::Record> records() const;

 private:
  void registerHandlers();
  void onPrepare(const wire::PrepareRequest& request, transport::ReplyFunction reply);
  void onAccept(const wire::AcceptRequest& request, transport::ReplyFunction reply);
  void onRegisterInstall(const wire::RegisterInstallRequest& request,
                         transport::ReplyFunction reply);
  void onSetInstall(const wire::AcceptorSetInstallRequest& request, transport::ReplyFunction reply);
  /** @return the rejecting answer if this acceptor may not vote on the request; else std::nullopt.
   */
  std::optional<wire::RegisterReply> rejection(std::uint64_t set_epoch) const;
  wire::RegisterReply emptyReply(wire::RegisterVerdict verdict) const;
  /** Commits the record and sends the answer once it is synced. */
  void commitAnswer(storage::Record record, const wire::RegisterReply& answer,
                    transport::ReplyFunction reply, std::function<void()> after_commit);
  void notifyAccepted(const std::vector<std::string>& keys);
  void removeExpired();
  void adoptSet(const wire::AcceptorSet& set);
  storage::Record setRecord() const;

  transport::PeerCalls& calls_;
  journal::Journal& journal_;
  AcceptorOptions options_;
  std::uint64_t instance_ = 0;
  wire::AcceptorSet acceptor_set_;
  std::unique_ptr<RegisterTable> registers_;
  std::set<std::string> damaged_;
  AcceptedListener accepted_listener_;
  std::vector<SetListener> set_listeners_;
  base::TimerPtr expiry_timer_;
  std::unique_ptr<PendingAnswers> pending_answers_;
  std::unique_ptr<AcceptorStorage> storage_;
};

}  // namespace switchsaddle::registers
