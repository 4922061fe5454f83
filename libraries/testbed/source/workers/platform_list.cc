#include "switchsaddle/testbed/workers/platform_list.h"

#include <boost/json.hpp>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

boost::json::object toJson(const ListedWorker& worker) {
  return {{"id", worker.id},
          {"address", worker.address.toString()},
          {"zone", worker.zone},
          {"models", boost::json::value_from(worker.models)},
          {"service", worker.service},
          {"stage", worker.stage},
          {"weights_version", worker.weights_version},
          {"slots", worker.slots}};
}

ListedWorker fromJson(const boost::json::object& object) {
  ListedWorker worker;
  worker.id = textField(object, "id");
  worker.address = base::NodeAddress::parse(textField(object, "address"));
  worker.zone = textField(object, "zone");
  worker.models = textListField(object, "models");
  worker.service = textField(object, "service");
  worker.stage = textField(object, "stage", worker.stage);
  worker.weights_version = textField(object, "weights_version", worker.weights_version);
  worker.slots = static_cast<std::uint32_t>(integerField(object, "slots", worker.slots));
  return worker;
}

}  // namespace

std::vector<ListedWorker> parseWorkersFile(const std::string& text) {
  std::vector<ListedWorker> workers;
  for (const boost::json::object& object : objectListField(parseObject(text), "workers")) {
    workers.push_back(fromJson(object));
  }
  return workers;
}

std::string formatWorkersFile(const std::vector<ListedWorker>& workers) {
  boost::json::array list;
  for (const ListedWorker& worker : workers) {
    list.push_back(toJson(worker));
  }
  return boost::json::serialize(boost::json::object{{"workers", list}});
}

PlatformFault parsePlatformFault(const std::string& body) {
  const std::string mode = textField(parseObject(body), "mode");
  if (mode == "none") {
    return PlatformFault::None;
  }
  if (mode == "empty") {
    return PlatformFault::Empty;
  }
  if (mode == "malformed") {
    return PlatformFault::Malformed;
  }
  if (mode == "flap") {
    return PlatformFault::Flap;
  }
  if (mode == "stale") {
    return PlatformFault::Stale;
  }
  throw base::Error(base::ResultCode::InvalidValue,
                    "expected none, empty, malformed, flap or stale, got " + mode, "mode");
}

PlatformList::PlatformList(std::vector<ListedWorker> workers, base::Duration lag,
                           base::Duration crashed_listed)
    : workers_(std::move(workers)),
      listings_(workers_.size()),
      lag_(lag),
      crashed_listed_(crashed_listed) {}

void PlatformList::reportState(std::size_t index, const std::string& state, base::TimePoint now) {
  observe(index, state, now + lag_);
}

void PlatformList::reportNoAnswer(std::size_t index, base::TimePoint now) {
  observe(index, "", now + lag_ + crashed_listed_);
}

void PlatformList::observe(std::size_t index, const std::string& state,
                           base::TimePoint visible_from) {
  Listing& listing = listings_[index];
  if (listing.last_observed == state) {
    return;
  }
  listing.last_observed = state;
  // If a worker answers again before its removal is listed, the removal is dropped.
  while (!listing.pending.empty() && listing.pending.back().visible_from >= visible_from) {
    listing.pending.pop_back();
  }
  listing.pending.push_back(Observation{visible_from, state});
}

void PlatformList::advance(base::TimePoint now) {
  for (Listing& listing : listings_) {
    while (!listing.pending.empty() && listing.pending.front().visible_from <= now) {
      if (listing.state != listing.pending.front().state) {
        listing.state = listing.pending.front().state;
        ++generation_;
      }
      listing.pending.pop_front();
    }
  }
}

void PlatformList::setFault(PlatformFault fault) {
  fault_ = fault;
}

std::string PlatformList::answer(base::TimePoint now) {
  ++answers_;
  if (fault_ == PlatformFault::Malformed) {
    return "{\"generation\": 1, \"workers\": [{\"id\":";
  }
  if (fault_ != PlatformFault::Stale) {
    advance(now);
  }
  const bool flapped = fault_ == PlatformFault::Flap && answers_ % 2 == 0;
  return listJson(flapped || fault_ == PlatformFault::Empty);
}

std::string PlatformList::listJson(bool empty) const {
  boost::json::array list;
  for (std::size_t index = 0; index < workers_.size() && !empty; ++index) {
    if (listings_[index].state.empty()) {
      continue;
    }
    boost::json::object object = toJson(workers_[index]);
    object["state"] = listings_[index].state;
    list.push_back(std::move(object));
  }
  return boost::json::serialize(
      boost::json::object{{"generation", generation_}, {"workers", std::move(list)}});
}

}  // namespace switchsaddle::testbed
