#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages of the replicated compare-and-swap registers: two quorum phases, prepare and accept, on
 * the acceptors of the acceptor set. Source: single-decree Paxos used as a register (CASPaxos).
 */

namespace switchsaddle::wire {

/** Result of a prepare or accept request at an acceptor. */
enum class RegisterVerdict : std::uint8_t { Granted, Refused, Unavailable, OtherAcceptorSet };

/** Proposal number, ordered by round, then by the proposer's instance. Zero precedes all others. */
struct Ballot {
  std::uint64_t round = 0;
  /** Instance id of the proposing process. */
  std::uint64_t proposer = 0;

  auto operator<=>(const Ballot&) const = default;
  bool isZero() const { return round == 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(round, proposer);
  }
};

/** One acceptor: the address of a core process and the instance id of its data folder. */
struct AcceptorMember {
  base::NodeAddress address;
  std::uint64_t instance = 0;

  auto operator<=>(const AcceptorMember&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, instance);
  }
};

/**
 * Membership of the acceptors. During a membership change `previous` is not empty, and each quorum
 * needs a majority of both lists (joint consensus).
 */
struct AcceptorSet {
  /** Increases with each change. */
  std::uint64_t epoch = 0;
  std::vector<AcceptorMember> members;
  /** Members before the change in progress. */
  std::vector<AcceptorMember> previous;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, members, previous);
  }
};

/** Phase 1: requests the acceptor's promise for the ballot and the value it has accepted. */
struct PrepareRequest {
  /** Key of the register. */
  std::string key;
  Ballot ballot;
  /** Epoch of the acceptor set in which the proposer counts its quorum. */
  std::uint64_t set_epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, ballot, set_epoch);
  }
};

/** Phase 2: requests that the acceptor accept the value at the ballot. */
struct AcceptRequest {
  /** Key of the register. */
  std::string key;
  Ballot ballot;
  /** Epoch of the acceptor set in which the proposer counts its quorum. */
  std::uint64_t set_epoch = 0;
  std::string value;
  /** Ballots of the newest proposals that the value was built on, oldest first. */
  std::vector<Ballot> lineage;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, ballot, set_epoch, value, lineage);
  }
};

/** Acceptor to proposer: reply to PrepareRequest and AcceptRequest. */
struct RegisterReply {
  RegisterVerdict verdict = RegisterVerdict::Unavailable;
  /** Highest ballot that the acceptor has promised. */
  Ballot promised;
  /** Ballot of the accepted value; zero if there is none. */
  Ballot accepted;
  /** The accepted value; only in replies to PrepareRequest. */
  std::string value;
  /** AcceptRequest::lineage of the accepted value; only in replies to PrepareRequest. */
  std::vector<Ballot> lineage;
  /** The acceptor's own set; unset with verdicts Granted and Refused. */
  AcceptorSet newer_set;
  /** The acceptor's instance; a vote counts only for the member with this instance. */
  std::uint64_t instance = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, promised, accepted, value, lineage, newer_set, instance);
  }
};

/** Requests a page of an acceptor's registers, for repair, scrubbing and state transfer. */
struct RegisterScanRequest {
  /** Exclusive lower bound of the keys; empty for the first page. */
  std::string after;
  /** Maximum number of entries in the page. */
  std::uint32_t limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after, limit);
  }
};

/** State of one register at one acceptor. */
struct RegisterScanEntry {
  std::string key;
  Ballot promised;
  Ballot accepted;
  std::string value;
  std::vector<Ballot> lineage;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, promised, accepted, value, lineage);
  }
};

/** A page of registers in key order. */
struct RegisterScanReply {
  std::vector<RegisterScanEntry> entries;
  /** This is the last page. */
  bool done = false;
  /** The acceptor's instance. */
  std::uint64_t instance = 0;
  /** False if the acceptor may not vote or has corrupt registers, so that keys may be missing. */
  bool complete = false;
  /** Epoch of the acceptor's set when it produced the page. */
  std::uint64_t set_epoch = 0;
  /** Upper bound of the ballots promised by registers that expired and were removed. */
  Ballot removed_floor{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, done, instance, complete, set_epoch, removed_floor);
  }
};

/** Installs registers in an acceptor; an entry applies only if its accepted ballot is higher. */
struct RegisterInstallRequest {
  std::vector<RegisterScanEntry> entries;
  /** Epoch of the acceptor set in the view of the sender. */
  std::uint64_t set_epoch = 0;
  /** RegisterScanReply::removed_floor that a new member must adopt; zero in repairs. */
  Ballot removed_floor{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, set_epoch, removed_floor);
  }
};

/** Reply to RegisterInstallRequest. */
struct RegisterInstallReply {
  /** The installed registers are durable. */
  bool synced = false;
  /** The acceptor's instance. */
  std::uint64_t instance = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(synced, instance);
  }
};

/** Installs an acceptor set in an acceptor, which applies it if it is newer than its own. */
struct AcceptorSetInstallRequest {
  AcceptorSet acceptor_set;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(acceptor_set);
  }
};

/** Reply to AcceptorSetInstallRequest. */
struct AcceptorSetInstallReply {
  /** The acceptor's set is durable. */
  bool synced = false;
  /** The acceptor's set after the request. */
  AcceptorSet acceptor_set;
  /** The acceptor's instance. */
  std::uint64_t instance = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(synced, acceptor_set, instance);
  }
};

}  // namespace switchsaddle::wire
