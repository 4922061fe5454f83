#include "control/status_json.h"

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/configuration/state_report.h"

namespace switchsaddle::core {

namespace {

using configuration::digestText;
using configuration::JsonWriter;

void writeNode(JsonWriter& writer, const NodeStatus& status) {
  writer.name("node").beginObject();
  writer.name("address").string(status.address.toString());
  writer.name("role").string("core");
  writer.name("zone").string(status.zone);
  writer.name("instance").string(digestText(status.instance));
  writer.endObject();
}

void writeStorage(JsonWriter& writer, const NodeStatus& status) {
  writer.name("storage").beginObject();
  writer.name("may_vote").boolean(status.may_vote);
  writer.name("registers").unsignedInteger(status.register_count);
  writer.name("fault").string(status.storage_fault);
  writer.endObject();
}

void writeMembers(JsonWriter& writer, const char* name,
                  const std::vector<wire::AcceptorMember>& members) {
  writer.name(name).beginArray();
  for (const wire::AcceptorMember& member : members) {
    writer.beginObject();
    writer.name("address").string(member.address.toString());
    writer.name("instance").string(digestText(member.instance));
    writer.endObject();
  }
  writer.endArray();
}

void writeCoreSet(JsonWriter& writer, const wire::AcceptorSet& set) {
  writer.name("core_set").beginObject();
  writer.name("epoch").unsignedInteger(set.epoch);
  writeMembers(writer, "members", set.members);
  writeMembers(writer, "previous", set.previous);
  writer.endObject();
}

void writeLeases(JsonWriter& writer, const std::vector<LeaseStatus>& leases) {
  writer.name("leases").beginArray();
  for (const LeaseStatus& lease : leases) {
    writer.beginObject();
    writer.name("name").string(lease.name);
    writer.name("held").boolean(lease.held);
    writer.name("term").unsignedInteger(lease.term);
    writer.endObject();
  }
  writer.endArray();
}

void writeSessions(JsonWriter& writer, const std::vector<wire::SessionTableEntry>& sessions) {
  writer.name("sessions").beginArray();
  for (const wire::SessionTableEntry& session : sessions) {
    writer.beginObject();
    writer.name("front").string(session.record.front.toString());
    writer.name("zone").string(session.record.zone);
    writer.name("version").unsignedInteger(session.record.applied_version);
    writer.name("digest").string(digestText(session.record.applied_digest));
    writer.name("remaining_ms").unsignedInteger(session.remaining_ms);
    writer.endObject();
  }
  writer.endArray();
}

}  // namespace

std::string renderStatus(const NodeStatus& status,
                         const std::vector<wire::SessionTableEntry>& sessions,
                         std::uint64_t version, std::uint64_t digest) {
  JsonWriter writer;
  writer.beginObject();
  writeNode(writer, status);
  writer.name("version").unsignedInteger(version);
  writer.name("digest").string(digestText(digest));
  writeStorage(writer, status);
  writeCoreSet(writer, status.acceptor_set);
  writeLeases(writer, status.leases);
  writeSessions(writer, sessions);
  writer.endObject();
  return writer.text();
}

}  // namespace switchsaddle::core
