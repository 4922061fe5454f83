#include "control_json.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace switchsaddle::core {

namespace {

namespace json = boost::json;

/** 64-bit digests and instances as fixed-width hexadecimal text, which JSON numbers cannot hold. */
std::string hexadecimal(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

http::Response respond(std::uint16_t status, const json::object& body) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = json::serialize(body);
  return response;
}

json::array faultList(const std::vector<configuration::Fault>& faults) {
  json::array list;
  for (const configuration::Fault& fault : faults) {
    json::object item;
    item["path"] = fault.path;
    item["code"] = static_cast<std::uint16_t>(fault.code);
    item["name"] = base::describe(fault.code).name;
    item["message"] = fault.message;
    list.push_back(std::move(item));
  }
  return list;
}

json::object errorBody(base::ResultCode code, const std::vector<configuration::Fault>& faults) {
  const base::ResultCodeInfo& info = base::describe(code);
  json::object error;
  error["code"] = static_cast<std::uint16_t>(code);
  error["name"] = info.name;
  error["message"] = info.meaning;
  error["retry_safe"] = info.retry_is_safe;
  if (!faults.empty()) {
    error["faults"] = faultList(faults);
  }
  json::object body;
  body["error"] = std::move(error);
  return body;
}

json::array textList(const std::vector<std::string>& texts) {
  json::array list;
  for (const std::string& text : texts) {
    list.push_back(json::value(text));
  }
  return list;
}

json::object sessionObject(const wire::SessionTableEntry& session) {
  json::object item;
  item["front"] = session.record.front.toString();
  item["zone"] = session.record.zone;
  item["version"] = session.record.applied_version;
  item["digest"] = hexadecimal(session.record.applied_digest);
  item["remaining_ms"] = session.remaining_ms;
  return item;
}

json::array sessionList(const std::vector<wire::SessionTableEntry>& sessions) {
  json::array list;
  for (const wire::SessionTableEntry& session : sessions) {
    list.push_back(sessionObject(session));
  }
  return list;
}

json::array memberList(const std::vector<wire::AcceptorMember>& members) {
  json::array list;
  for (const wire::AcceptorMember& member : members) {
    json::object item;
    item["address"] = member.address.toString();
    item["instance"] = hexadecimal(member.instance);
    list.push_back(std::move(item));
  }
  return list;
}

json::object nodeObject(const NodeStatus& status) {
  json::object node;
  node["address"] = status.address.toString();
  node["role"] = "core";
  node["zone"] = status.zone;
  node["instance"] = hexadecimal(status.instance);
  return node;
}

json::object storageObject(const NodeStatus& status) {
  json::object storage;
  storage["may_vote"] = status.may_vote;
  storage["registers"] = status.register_count;
  storage["fault"] = status.storage_fault;
  return storage;
}

json::object coreSetObject(const wire::AcceptorSet& set) {
  json::object object;
  object["epoch"] = set.epoch;
  object["members"] = memberList(set.members);
  object["previous"] = memberList(set.previous);
  return object;
}

json::array leaseList(const std::vector<LeaseStatus>& leases) {
  json::array list;
  for (const LeaseStatus& lease : leases) {
    json::object item;
    item["name"] = lease.name;
    item["held"] = lease.held;
    item["term"] = lease.term;
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

http::Response configurationResponse(const configuration::Document& document) {
  json::object body;
  body["version"] = document.version;
  body["digest"] = hexadecimal(document.digest());
  body["document"] = json::parse(document.toJson());
  return respond(200, body);
}

http::Response historyResponse(const configuration::RegisterValue& value) {
  json::array lines;
  for (const configuration::HistoryLine& line : value.history) {
    json::object item;
    item["version"] = line.version;
    item["change_id"] = line.change_id;
    item["set"] = textList(line.set);
    item["removed"] = textList(line.removed);
    lines.push_back(std::move(item));
  }
  json::object body;
  body["version"] = value.document.version;
  body["history"] = std::move(lines);
  return respond(200, body);
}

http::Response inForceResponse(const std::vector<wire::SessionTableEntry>& sessions) {
  json::object body;
  body["fronts"] = sessionList(sessions);
  return respond(200, body);
}

http::Response statusResponse(const NodeStatus& status,
                              const std::vector<wire::SessionTableEntry>& sessions,
                              std::uint64_t version, std::uint64_t digest) {
  json::object body;
  body["node"] = nodeObject(status);
  body["version"] = version;
  body["digest"] = hexadecimal(digest);
  body["storage"] = storageObject(status);
  body["core_set"] = coreSetObject(status.acceptor_set);
  body["leases"] = leaseList(status.leases);
  body["sessions"] = sessionList(sessions);
  return respond(200, body);
}

http::Response beliefsResponse(const base::NodeAddress& node, const journal::BeliefView& beliefs) {
  json::object subjects;
  for (const auto& [key, belief] : beliefs.beliefs()) {
    json::value& subject = subjects[journal::subjectName(key.first)];
    if (!subject.is_object()) {
      json::object fresh;
      fresh["digest"] = hexadecimal(beliefs.digest(key.first));
      fresh["beliefs"] = json::object();
      subject = std::move(fresh);
    }
    json::object item;
    item["value"] = belief.value;
    item["version"] = belief.version;
    subject.as_object()["beliefs"].as_object()[key.second] = std::move(item);
  }
  json::object body;
  body["node"] = node.toString();
  body["subjects"] = std::move(subjects);
  return respond(200, body);
}

http::Response changeResponse(const ChangeAnswer& answer) {
  const bool committed = answer.code == base::ResultCode::Ok ||
                         answer.code == base::ResultCode::CommittedNotYetInForce;
  if (!committed) {
    json::object body = errorBody(answer.code, answer.faults);
    body["version"] = answer.version;
    return respond(base::describe(answer.code).http_status, body);
  }
  const base::ResultCodeInfo& info = base::describe(answer.code);
  json::object body;
  body["code"] = static_cast<std::uint16_t>(answer.code);
  body["name"] = info.name;
  body["message"] = info.meaning;
  body["version"] = answer.version;
  body["repeated"] = answer.repeated;
  return respond(info.http_status, body);
}

http::Response controlError(base::ResultCode code,
                            const std::vector<configuration::Fault>& faults) {
  return respond(base::describe(code).http_status, errorBody(code, faults));
}

http::Response emptyResponse() {
  return respond(200, {});
}

}  // namespace switchsaddle::core
