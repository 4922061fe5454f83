#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * Control requests passed between nodes, and the introduction of core nodes.
 */

namespace switchsaddle::wire {

/** An operator's request of the control API, forwarded by a front or a core node. */
struct ControlRequest {
  std::string method;
  std::string target;
  std::string authorization;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(method, target, authorization, body);
  }
};

/** The answer of the control API. */
struct ControlReply {
  std::uint16_t status = 0;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, body);
  }
};

/** A core process introduces its instance; an empty one asks to be admitted. */
struct CoreAnnounce {
  AcceptorMember member;
  bool holds_state = false;
  std::string zone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(member, holds_state, zone);
  }
};

/** The acceptor set the answering node knows. */
struct CoreAnnounceReply {
  AcceptorSet acceptor_set;
  /** The answering core process. */
  AcceptorMember member;
  bool holds_state = false;
  std::string zone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(acceptor_set, member, holds_state, zone);
  }
};

}  // namespace switchsaddle::wire
