#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * Control API requests forwarded between nodes, and announcements of core nodes.
 */

namespace switchsaddle::wire {

/** A request to the control API, forwarded by a front or a core node. */
struct ControlRequest {
  /** HTTP method. */
  std::string method;
  /** HTTP request target: path and query. */
  std::string target;
  /** Value of the Authorization header. */
  std::string authorization;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(method, target, authorization, body);
  }
};

/** The response of the control API. */
struct ControlReply {
  /** HTTP status. */
  std::uint16_t status = 0;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, body);
  }
};

/** Core to core: announces a core process. One without state requests admission to the set. */
struct CoreAnnounce {
  AcceptorMember member;
  /** The process has a data folder with stored registers. */
  bool holds_state = false;
  std::string zone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(member, holds_state, zone);
  }
};

/** Reply to CoreAnnounce. */
struct CoreAnnounceReply {
  /** Newest acceptor set in the view of the answering node. */
  AcceptorSet acceptor_set;
  /** The answering core process. */
  AcceptorMember member;
  /** The process has a data folder with stored registers. */
  bool holds_state = false;
  std::string zone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(acceptor_set, member, holds_state, zone);
  }
};

/**
 * Core to the initial core that commits the first acceptor set, before there is one: names the
 * initial cores, which that core does not know if it has been restarted since the first start.
 */
struct InitialCores {
  /** Instance of the core that the message is for. */
  std::uint64_t instance = 0;
  std::vector<base::NodeAddress> addresses;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(instance, addresses);
  }
};

/**
 * Core to core, before there is an acceptor set and when no core knows the initial cores any more:
 * asks whether the candidate may commit the first set, of these cores.
 */
struct FirstSetVoteRequest {
  AcceptorMember candidate;
  /** In ascending order. */
  std::vector<base::NodeAddress> cores;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(candidate, cores);
  }
};

/** Reply to FirstSetVoteRequest. */
struct FirstSetVoteReply {
  bool granted = false;
  /** The answering core process. */
  AcceptorMember voter;
  std::string zone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, voter, zone);
  }
};

}  // namespace switchsaddle::wire
