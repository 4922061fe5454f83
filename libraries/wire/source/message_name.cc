#include "switchsaddle/wire/message_name.h"

#include <array>
#include <variant>

namespace switchsaddle::wire {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<Message>> Names{
    "Acknowledgement",
    "PrepareRequest",
    "AcceptRequest",
    "RegisterReply",
    "RegisterScanRequest",
    "RegisterScanReply",
    "RegisterInstallRequest",
    "RegisterInstallReply",
    "AcceptorSetInstallRequest",
    "AcceptorSetInstallReply",
    "LeaseRequest",
    "LeaseReply",
    "LeaseRelease",
    "SessionOpenRequest",
    "SessionOpenReply",
    "SessionRecordBatch",
    "SessionRecordBatchReply",
    "SessionTableRequest",
    "SessionTableReply",
    "ConfigurationDelta",
    "ConfigurationFetch",
    "WorkerView",
    "GossipDigest",
    "GossipDelta",
    "SlotRequest",
    "SlotReply",
    "SlotRecall",
    "SlotReport",
    "ClaimBegin",
    "ClaimFinish",
    "ClaimReply",
    "ControlRequest",
    "ControlReply",
    "CoreAnnounce",
    "CoreAnnounceReply",
    "WorkerViewChange",
    "QuotaRequest",
    "QuotaReply",
    "InitialCores",
    "FirstSetVoteRequest",
    "FirstSetVoteReply"};
static_assert(!Names.back().empty(), "a message has no name");

}  // namespace

std::string_view messageName(std::size_t index) {
  return index < Names.size() ? Names.at(index) : "unknown";
}

std::string_view messageName(const Message& message) {
  return messageName(message.index());
}

}  // namespace switchsaddle::wire
