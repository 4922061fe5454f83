#include "node/state_reporter.h"

#include <utility>

#include "switchsaddle/dissemination/state_report.h"

namespace switchsaddle::front {

namespace {

using journal::Subject;
using sessions::SessionState;

const char* stateName(SessionState state) {
  switch (state) {
    case SessionState::Expired:
      return "lapsed";
    case SessionState::CatchingUp:
      return "catching up";
    case SessionState::Serving:
      return "serving";
    case SessionState::ServingWithoutCore:
      return "serving without a core";
  }
  return "lapsed";
}

bool isOpen(SessionState state) {
  return state == SessionState::Serving || state == SessionState::CatchingUp;
}

}  // namespace

StateReporter::StateReporter(base::Dispatcher& dispatcher, journal::Journal& journal,
                             StateOwner owner, const sessions::SessionClient& session,
                             const admission::LedgerSlotBroker& slots)
    : dispatcher_(dispatcher),
      journal_(journal),
      view_(journal),
      owner_(std::move(owner)),
      session_(session),
      slots_(slots) {}

void StateReporter::recordIfChanged(Subject subject, const std::string& key,
                                    const std::string& value, std::uint64_t version) {
  const auto entry = view_.entries().find({subject, key});
  const bool is_recorded = entry != view_.entries().end();
  const bool unchanged = is_recorded
                             ? entry->second.value == value && entry->second.version == version
                             : value.empty();
  if (!unchanged) {
    journal_.append(subject, key, value, version);
  }
}

void StateReporter::poll() {
  const SessionState state = session_.state();
  // Uses the format of the cores' session tables, so that the two can be compared.
  recordIfChanged(
      Subject::Session, owner_.address.toString(),
      isOpen(state) ? "live, instance " + std::to_string(owner_.instance) : std::string(), 0);
  recordIfChanged(Subject::Session, "state", stateName(state), 0);
  for (const auto& [shard, term] : slots_.ledgerTerms()) {
    recordIfChanged(Subject::Lease, "limit-ledger/" + std::to_string(shard) + ", term heard",
                    std::to_string(term), term);
  }
  refreshSlots();
}

void StateReporter::refreshSlots() {
  for (const auto& [branch, allocated, in_use] : slots_.allocations()) {
    const std::string value =
        std::to_string(allocated) + " held, " + std::to_string(in_use) + " in use";
    journal::StateEntry& entry = slot_state_[branch];
    if (entry.value != value) {
      entry = {value, 0, dispatcher_.now()};
    }
  }
}

std::string StateReporter::report() {
  poll();
  const base::TimePoint now = dispatcher_.now();
  configuration::StateReport report = dissemination::reportState(owner_.address, view_, now);
  for (const auto& [branch, entry] : slot_state_) {
    report.entries.push_back({journal::subjectName(Subject::Limits), branch, entry.value, 0,
                              base::toMilliseconds(now - entry.at)});
  }
  return configuration::renderStateReport(report);
}

}  // namespace switchsaddle::front
