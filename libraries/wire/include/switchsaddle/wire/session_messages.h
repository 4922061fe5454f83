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
 * Messages of the sessions between front nodes and core nodes. A session is granted, and a renewal
 * takes effect, once a majority of core nodes has recorded it.
 */

namespace switchsaddle::wire {

/** Demand and admissions of one tenant at one front, in units of its quota. */
struct TenantDemand {
  std::string tenant;
  /** Recent demand. */
  float units_per_s = 0;
  /** Units admitted within the quota's window. */
  float admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, units_per_s, admitted);
  }
};

/** Fleet-wide demand and admissions of one tenant, and one front's quota share. */
struct TenantAllocation {
  std::string tenant;
  /** The front's share of the remaining quota; 0 to 1. */
  float share = 0;
  /** Recent demand at all fronts. */
  float fleet_units_per_s = 0;
  /** Units admitted by all fronts within the quota's window. */
  float fleet_admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, share, fleet_units_per_s, fleet_admitted);
  }
};

/** Extent of a front's view of the fleet, from which restarted cores recover their own. */
struct FleetKnowledge {
  /** Time since the front's process started. */
  std::uint32_t age_ms = 0;
  /** sessions::digestOfFronts() of the fronts that were recently in this front's view, itself
   * included. */
  std::uint64_t fronts_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(age_ms, fronts_digest);
  }
};

/**
 * Session of one front as recorded by a core node. Contains durations only, no points in time: each
 * core counts them from receipt.
 */
struct SessionRecord {
  base::NodeAddress front;
  /** Random instance id of the front process. */
  std::uint64_t instance = 0;
  /** Counts the front's renewals; a record with a lower sequence is ignored. */
  std::uint64_t sequence = 0;
  /** Configuration version that the front has applied. */
  std::uint64_t applied_version = 0;
  /** Digest of the configuration at applied_version. */
  std::uint64_t applied_digest = 0;
  std::string zone;
  /** The front has ended its session and serves no requests. */
  bool closed = false;
  /** Tenants with a quota that recently sent requests to the front. */
  std::vector<TenantDemand> demand = {};
  /** Health data of the workers that the front dispatched requests to. */
  HealthReport health = {};
  FrontLoad load = {};
  FleetKnowledge fleet_knowledge = {};
  /**
   * Quota requests up to QuotaRequest::number are complete: `demand` includes the granted ones.
   */
  std::uint64_t completed_requests = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(front, instance, sequence, applied_version, applied_digest, zone, closed, demand,
            health, load, fleet_knowledge, completed_requests);
  }
};

/** Front to core: opens or renews the session. */
struct SessionOpenRequest {
  SessionRecord record;
  /** SessionOpenReply::members_digest of the front's address lists; 0 if it has none. */
  std::uint64_t members_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, members_digest);
  }
};

/** Core to front: reply to SessionOpenRequest, sent once a majority has recorded the session. */
struct SessionOpenReply {
  bool granted = false;
  /** SessionRecord::sequence of the request. */
  std::uint64_t sequence = 0;
  /** The front must apply this configuration version before it serves requests. */
  std::uint64_t committed_version = 0;
  /** Members of the current acceptor set, from which a front learns about replaced cores. */
  std::vector<base::NodeAddress> core_addresses;
  /** Fronts with live sessions: the gossip peers. */
  std::vector<base::NodeAddress> front_addresses;
  /** Digest of both lists; if the request states the same digest, both are left empty. */
  std::uint64_t members_digest = 0;
  /** The core has received the admissions of all fronts. */
  bool quotas_complete = false;
  /** Tenants that have used much of their quota; complete if quotas_complete is set. */
  std::vector<TenantAllocation> allocations = {};
  HealthAdvice health = {};
  FleetLoad load = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, sequence, committed_version, core_addresses, front_addresses, members_digest,
            quotas_complete, allocations, health, load);
  }
};

/** Core to core: replicates session records. */
struct SessionRecordBatch {
  std::vector<SessionRecord> records;
  /** Epoch of the acceptor set in which the sender counts a majority. */
  std::uint64_t set_epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(records, set_epoch);
  }
};

/** Acknowledgement of a SessionRecordBatch. */
struct SessionRecordBatchReply {
  /**
   * False if the node may not vote or its acceptor set has another epoch. A recovering node does
   * record sessions.
   */
  bool recorded = false;
  /** Configuration version accepted by the answering acceptor. */
  std::uint64_t accepted_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(recorded, accepted_version);
  }
};

/** Core to core: requests the live sessions recorded by the receiver. */
struct SessionTableRequest {
  /** Epoch of the acceptor set in which the reader counts a majority. */
  std::uint64_t set_epoch = 0;
  /** Restricts the reply to fronts whose applied configuration version is below this one. */
  std::uint64_t below_version = UINT64_MAX;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(set_epoch, below_version);
  }
};

/** A live session and its remaining time. */
struct SessionTableEntry {
  SessionRecord record;
  /** Time until the session expires at the answering node. */
  std::uint32_t remaining_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, remaining_ms);
  }
};

/** Reply to SessionTableRequest. */
struct SessionTableReply {
  /** Less than one session length has passed since the node's start, so sessions may be missing. */
  bool recovering = false;
  std::vector<SessionTableEntry> sessions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(recovering, sessions);
  }
};

}  // namespace switchsaddle::wire
