#include "switchsaddle/testbed/soak/control_history.h"

#include <algorithm>
#include <map>
#include <utility>

namespace switchsaddle::testbed {
namespace {

std::string describe(const ControlOperation& operation) {
  return operation.id + " (" + std::to_string(operation.invoked_s) + " s to " +
         std::to_string(operation.ended_s) + " s, version " + std::to_string(operation.version) +
         ")";
}

bool isOrder(const ControlOperation& operation) {
  return operation.kind == ControlOperationKind::BeginEvacuation ||
         operation.kind == ControlOperationKind::EndEvacuation;
}

bool isDone(const ControlOperation& operation) {
  return operation.outcome == ControlOutcome::Done && operation.version != 0;
}

}  // namespace

void ControlHistory::add(ControlOperation operation) {
  const std::lock_guard lock(mutex_);
  operations_.push_back(std::move(operation));
}

std::size_t ControlHistory::count(ControlOutcome outcome) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::ranges::count(operations_, outcome, &ControlOperation::outcome));
}

std::vector<std::string> ControlHistory::violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  judgeVersions(found);
  judgeOrder(found);
  judgeEvacuations(found);
  return found;
}

void ControlHistory::judgeVersions(std::vector<std::string>& found) const {
  std::map<std::uint64_t, const ControlOperation*> makers;
  for (const ControlOperation& operation : operations_) {
    if (operation.kind != ControlOperationKind::Change || !isDone(operation)) {
      continue;
    }
    if (operation.version != operation.base_version + 1) {
      found.push_back(describe(operation) + " was based on version " +
                      std::to_string(operation.base_version));
    }
    const auto [earlier, is_first] = makers.emplace(operation.version, &operation);
    if (!is_first) {
      found.push_back(describe(*earlier->second) + " and " + describe(operation) +
                      " made the same version");
    }
  }
}

void ControlHistory::judgeOrder(std::vector<std::string>& found) const {
  std::vector<const ControlOperation*> by_end;
  std::vector<const ControlOperation*> by_beginning;
  for (const ControlOperation& operation : operations_) {
    if (isDone(operation)) {
      by_end.push_back(&operation);
      by_beginning.push_back(&operation);
    }
  }
  std::ranges::sort(by_end, {}, &ControlOperation::ended_s);
  std::ranges::sort(by_beginning, {}, &ControlOperation::invoked_s);
  const ControlOperation* newest = nullptr;
  auto ended = by_end.begin();
  for (const ControlOperation* operation : by_beginning) {
    for (; ended != by_end.end() && (*ended)->ended_s < operation->invoked_s; ++ended) {
      newest = newest == nullptr || newest->version < (*ended)->version ? *ended : newest;
    }
    if (newest != nullptr && operation->version < newest->version) {
      found.push_back(describe(*operation) + " is older than " + describe(*newest));
    }
  }
}

bool ControlHistory::explains(const ControlOperation* order, const ControlOperation& read,
                              const std::string& zone) const {
  // Without an order, the zone has its state from the beginning.
  const double ended_s = order == nullptr ? -1 : order->ended_s;
  const auto effect = order == nullptr ? ControlOperationKind::EndEvacuation : order->kind;
  return std::ranges::none_of(operations_, [&](const ControlOperation& later) {
    return isOrder(later) && later.zone == zone && later.kind != effect &&
           later.outcome == ControlOutcome::Done && later.invoked_s > ended_s &&
           later.ended_s < read.invoked_s;
  });
}

bool ControlHistory::mayShow(const ControlOperation& read, const std::string& zone,
                             bool evacuated) const {
  const auto effect =
      evacuated ? ControlOperationKind::BeginEvacuation : ControlOperationKind::EndEvacuation;
  if (!evacuated && explains(nullptr, read, zone)) {
    return true;
  }
  return std::ranges::any_of(operations_, [&](const ControlOperation& order) {
    return order.kind == effect && order.zone == zone && order.outcome != ControlOutcome::Refused &&
           order.invoked_s < read.ended_s && explains(&order, read, zone);
  });
}

void ControlHistory::judgeEvacuations(std::vector<std::string>& found) const {
  std::set<std::string> zones;
  for (const ControlOperation& operation : operations_) {
    if (isOrder(operation)) {
      zones.insert(operation.zone);
    }
  }
  for (const ControlOperation& read : operations_) {
    if (read.kind != ControlOperationKind::Read || !isDone(read)) {
      continue;
    }
    for (const std::string& zone : zones) {
      const bool evacuated = read.evacuated.contains(zone);
      if (!mayShow(read, zone, evacuated)) {
        found.push_back(describe(read) + " shows " + zone + (evacuated ? "" : " not") +
                        " evacuated, which an acknowledged order had ended before");
      }
    }
  }
}

}  // namespace switchsaddle::testbed
