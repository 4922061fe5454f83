#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "switchsaddle/wire/admission_messages.h"
#include "switchsaddle/wire/claim_messages.h"
#include "switchsaddle/wire/control_messages.h"
#include "switchsaddle/wire/dissemination_messages.h"
#include "switchsaddle/wire/lease_messages.h"
#include "switchsaddle/wire/quota_messages.h"
#include "switchsaddle/wire/register_messages.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::wire {

/** Reply without content. */
struct Acknowledgement {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/**
 * Any message between nodes. The index of an alternative is part of the wire format: new messages
 * are appended. Nodes of earlier releases drop messages that they do not know.
 */
using Message = std::variant<
    Acknowledgement, PrepareRequest, AcceptRequest, RegisterReply, RegisterScanRequest,
    RegisterScanReply, RegisterInstallRequest, RegisterInstallReply, AcceptorSetInstallRequest,
    AcceptorSetInstallReply, LeaseRequest, LeaseReply, LeaseRelease, SessionOpenRequest,
    SessionOpenReply, SessionRecordBatch, SessionRecordBatchReply, SessionTableRequest,
    SessionTableReply, ConfigurationDelta, ConfigurationFetch, WorkerView, GossipDigest,
    GossipDelta, SlotRequest, SlotReply, SlotRecall, SlotReport, ClaimBegin, ClaimFinish,
    ClaimReply, ControlRequest, ControlReply, CoreAnnounce, CoreAnnounceReply, WorkerViewChange,
    QuotaRequest, QuotaReply, InitialCores, FirstSetVoteRequest, FirstSetVoteReply>;

/** Version in the header of each encoded envelope; decode() rejects any other. */
inline constexpr std::uint16_t ProtocolVersion = 2;

/** Whether an envelope expects no reply, expects one, or is one. */
enum class EnvelopeKind : std::uint8_t { Notification, Request, Reply };

/** A message with its addressing, as exchanged between two nodes. */
struct Envelope {
  /** Listening address of the sender, to which replies are sent. */
  base::NodeAddress sender;
  EnvelopeKind kind = EnvelopeKind::Notification;
  /** Chosen by the requester, unique in its process; copied to the reply; 0 for notifications. */
  std::uint64_t request_id = 0;
  Message message;
};

/** Encodes an envelope: protocol version, checksum of the body, body. */
std::string encode(const Envelope& envelope);

/**
 * Decodes an envelope. Accepts arbitrary bytes and never reads past their end.
 * @throws base::Error with MalformedMessage if the bytes are not the output of encode() of this
 *     protocol version.
 */
Envelope decode(std::string_view bytes);

}  // namespace switchsaddle::wire
