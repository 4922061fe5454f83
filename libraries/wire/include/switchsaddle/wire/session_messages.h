#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/health_messages.h"
#include "switchsaddle/wire/load_messages.h"

/**
 * @file
 * Sessions of front nodes with core nodes. A session is granted, and each renewal counts, once a
 * majority of core nodes has recorded it.
 */

namespace switchsaddle::wire {

/** What a tenant asks of one front and has got from it, in units of its quota. */
struct TenantDemand {
  std::string tenant;
  /** Asked for lately. */
  float units_per_s = 0;
  /** Let in within the quota's window. */
  float admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, units_per_s, admitted);
  }
};

/** What the fleet does for a tenant, and one front's part of it. */
struct TenantAllocation {
  std::string tenant;
  /** The front's part of what is left of the quota; 0 to 1. */
  float share = 0;
  /** Asked for of all fronts lately. */
  float fleet_units_per_s = 0;
  /** Let in by all fronts within the quota's window. */
  float fleet_admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, share, fleet_units_per_s, fleet_admitted);
  }
};

/** How far back a front's knowledge of the fleet goes: for cores that have lost theirs. */
struct FleetKnowledge {
  /** Milliseconds since the front's process started. */
  std::uint32_t age_ms = 0;
  /** sessions::digestOfFronts() of all fronts that it has known of late, itself included. */
  std::uint64_t fronts_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(age_ms, fronts_digest);
  }
};

/** One front's session as a core node records it. Durations only; each core counts from receipt. */
struct SessionRecord {
  base::NodeAddress front;
  /** The front process's random instance id. */
  std::uint64_t instance = 0;
  /** Counts the front's renewals; older ones are ignored. */
  std::uint64_t sequence = 0;
  /** Configuration version the front has in force. */
  std::uint64_t applied_version = 0;
  std::uint64_t applied_digest = 0;
  std::string zone;
  /** The front has ended its session; it does no more work. */
  bool closed = false;
  /** Tenants with a quota that asked the front for something lately. */
  std::vector<TenantDemand> demand = {};
  /** What the front has seen of workers. */
  HealthReport health = {};
  FrontLoad load = {};
  FleetKnowledge fleet_knowledge = {};
  /** Asks of the quota ledger up to this number are settled: granted ones stand in `demand`. */
  std::uint64_t settled_requests = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(front, instance, sequence, applied_version, applied_digest, zone, closed, demand,
            health, load, fleet_knowledge, settled_requests);
  }
};

/** Front to core: opens or renews the session. */
struct SessionOpenRequest {
  SessionRecord record;
  /** The digest of the addresses the front has from earlier replies; 0 where it has none. */
  std::uint64_t members_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, members_digest);
  }
};

/** Core to front, once a majority has recorded the request. */
struct SessionOpenReply {
  bool granted = false;
  std::uint64_t sequence = 0;
  /** The front serves only once it has this version in force. */
  std::uint64_t committed_version = 0;
  /** The present acceptor set, so that a front finds replaced cores. */
  std::vector<base::NodeAddress> core_addresses;
  /** Fronts with live sessions, as dissemination peers. */
  std::vector<base::NodeAddress> front_addresses;
  /** Digest of both lists; where the request names the same one, both are left empty. */
  std::uint64_t members_digest = 0;
  /** Whether the core knows what all fronts let in. */
  bool quotas_known = false;
  /** Of tenants that have used much of their quota; where quotas_known, no other has. */
  std::vector<TenantAllocation> allocations = {};
  HealthAdvice health = {};
  FleetLoad load = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, sequence, committed_version, core_addresses, front_addresses, members_digest,
            quotas_known, allocations, health, load);
  }
};

/** Core to core: records to be kept. */
struct SessionRecordBatch {
  std::vector<SessionRecord> records;
  /** Epoch of the acceptor set whose majority the sender counts. */
  std::uint64_t set_epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(records, set_epoch);
  }
};

/** Acknowledges a batch with the accepted configuration version of the answering acceptor. */
struct SessionRecordBatchReply {
  /** False while the node may not vote or holds a set of another epoch. A recovering node does
   * record. */
  bool recorded = false;
  std::uint64_t accepted_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(recorded, accepted_version);
  }
};

/** Asks a core node for the live sessions it knows. */
struct SessionTableRequest {
  /** Epoch of the acceptor set whose majority the reader counts. */
  std::uint64_t set_epoch = 0;
  /** Only sessions of fronts that have an older version in force are asked for. */
  std::uint64_t below_version = UINT64_MAX;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(set_epoch, below_version);
  }
};

/** A live session and the time it has left at the answering node. */
struct SessionTableEntry {
  SessionRecord record;
  std::uint32_t remaining_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, remaining_ms);
  }
};

/** The table. `recovering` is set while less than one session length has passed since start. */
struct SessionTableReply {
  bool recovering = false;
  std::vector<SessionTableEntry> sessions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(recovering, sessions);
  }
};

}  // namespace switchsaddle::wire
