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

/** An empty acknowledgement. */
struct Acknowledgement {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/**
 * Every message between nodes. The order is the wire format: new kinds are added at the end and
 * bump ProtocolVersion.
 */
using Message =
    std::variant<Acknowledgement, PrepareRequest, AcceptRequest, RegisterReply, RegisterScanRequest,
                 RegisterScanReply, RegisterInstallRequest, RegisterInstallReply,
                 AcceptorSetInstallRequest, AcceptorSetInstallReply, LeaseRequest, LeaseReply,
                 LeaseRelease, SessionOpenRequest, SessionOpenReply, SessionRecordBatch,
                 SessionRecordBatchReply, SessionTableRequest, SessionTableReply,
                 ConfigurationDelta, ConfigurationFetch, WorkerView, GossipDigest, GossipDelta,
                 SlotRequest, SlotReply, SlotRecall, SlotReport, ClaimBegin, ClaimFinish,
                 ClaimReply, ControlRequest, ControlReply, CoreAnnounce, CoreAnnounceReply,
                 WorkerViewChange, QuotaRequest, QuotaReply>;

inline constexpr std::uint16_t ProtocolVersion = 2;

/** How an envelope belongs to a request and reply pair. */
enum class EnvelopeKind : std::uint8_t { Notification, Request, Reply };

/** A message on its way between two nodes. */
struct Envelope {
  /** Where the sender listens; replies go there. */
  base::NodeAddress sender;
  EnvelopeKind kind = EnvelopeKind::Notification;
  /** Chosen by the requester, unique in its process; repeated in the reply; 0 for notifications. */
  std::uint64_t request_id = 0;
  Message message;
};

/** Serialises an envelope: protocol version, checksum, body. */
std::string encode(const Envelope& envelope);

/** Reverses encode(). Throws base::Error with MalformedMessage; never reads past the bytes. */
Envelope decode(std::string_view bytes);

}  // namespace switchsaddle::wire
