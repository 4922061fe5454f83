#include "operator_orders.h"

#include <boost/json.hpp>
#include <set>

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::core {

namespace {

namespace json = boost::json;
using base::ResultCode;
using configuration::Fault;

/** Reads the members of a flat JSON object of texts. */
class OrderReader {
 public:
  /** An empty body counts as `{}`. */
  OrderReader(const http::Request& request, std::vector<Fault>& faults)
      : request_(request), faults_(faults) {
    if (request.body.empty()) {
      return;
    }
    boost::system::error_code failure;
    json::value value = json::parse(request.body, failure);
    if (failure) {
      faults_.push_back({"", ResultCode::MalformedJson, failure.message()});
    } else if (!value.is_object()) {
      faults_.push_back({"", ResultCode::InvalidValue, "must be an object"});
    } else {
      object_ = std::move(value.as_object());
    }
  }

  bool has(const std::string& name) const { return object_.contains(name); }

  std::string text(const std::string& name) {
    known_.insert(name);
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) {
      faults_.push_back({name, ResultCode::MissingField, "is missing"});
      return {};
    }
    if (!value->is_string()) {
      faults_.push_back({name, ResultCode::InvalidValue, "must be a string"});
      return {};
    }
    return std::string(value->get_string());
  }

  /** From the body, or from the query where the body has none. */
  std::string changeId() {
    const std::string from_query = http::queryParameter(request_.target, "change_id");
    if (!has("change_id") && !from_query.empty()) {
      return from_query;
    }
    return text("change_id");
  }

  base::NodeAddress address(const std::string& name) {
    const std::string value = text(name);
    try {
      return base::NodeAddress::parse(value);
    } catch (const base::Error& error) {
      faults_.push_back({name, error.code(), error.what()});
      return {};
    }
  }

  /** Notes members which were not asked for. */
  void finish() {
    for (const auto& member : object_) {
      const std::string name(member.key());
      if (!known_.contains(name)) {
        faults_.push_back({name, ResultCode::UnknownField, "is not known"});
      }
    }
  }

 private:
  const http::Request& request_;
  std::vector<Fault>& faults_;
  json::object object_;
  std::set<std::string> known_;
};

configuration::Change changeWithId(const http::Request& request, std::vector<Fault>& faults) {
  OrderReader reader(request, faults);
  configuration::Change change;
  change.base_version = configuration::AnyBaseVersion;
  change.change_id = reader.changeId();
  reader.finish();
  return change;
}

std::string keyHash(OrderReader& reader) {
  if (!reader.has("secret")) {
    return reader.text("sha256");
  }
  return configuration::sha256Hex(reader.text("secret"));
}

}  // namespace

configuration::Change parseEvacuationOrder(const http::Request& request, const std::string& zone,
                                           std::vector<Fault>& faults) {
  configuration::Change change = changeWithId(request, faults);
  change.set.push_back({"evacuations/" + zone, "{}"});
  return change;
}

configuration::Change parseRestoreOrder(const http::Request& request, const std::string& zone,
                                        std::vector<Fault>& faults) {
  configuration::Change change = changeWithId(request, faults);
  change.remove.push_back("evacuations/" + zone);
  return change;
}

configuration::Change parseKeyOrder(const http::Request& request, std::vector<Fault>& faults) {
  OrderReader reader(request, faults);
  configuration::Change change;
  change.base_version = configuration::AnyBaseVersion;
  change.change_id = reader.changeId();
  const std::string id = reader.text("id");
  json::object key;
  key["sha256"] = keyHash(reader);
  key["tenant"] = reader.text("tenant");
  change.set.push_back({"keys/" + id, json::serialize(key)});
  reader.finish();
  return change;
}

configuration::Change parseRevocation(const http::Request& request, const std::string& key,
                                      std::vector<Fault>& faults) {
  configuration::Change change = changeWithId(request, faults);
  change.remove.push_back("keys/" + key);
  return change;
}

ReplacementOrder parseReplacement(const http::Request& request, std::vector<Fault>& faults) {
  OrderReader reader(request, faults);
  ReplacementOrder order;
  order.old_member = reader.address("old");
  order.new_member = reader.address("new");
  reader.finish();
  return order;
}

}  // namespace switchsaddle::core
