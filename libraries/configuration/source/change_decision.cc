#include <utility>

#include "switchsaddle/configuration/register_value.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

template <class Element>
void keepNewest(std::vector<Element>& elements, std::size_t maximum) {
  if (elements.size() > maximum) {
    elements.erase(elements.begin(), elements.end() - static_cast<std::ptrdiff_t>(maximum));
  }
}

void record(RegisterValue& value, const Change& change, ResultCode code, std::uint64_t version) {
  value.recorded.push_back({change.change_id, change.fingerprint(), code, version});
  keepNewest(value.recorded, MaximumRecordedChanges);
}

/** @return the history entry of a change, with the paths that it set and removed. */
HistoryEntry describeChange(const Document& next, const Change& change) {
  HistoryEntry history_entry;
  history_entry.version = next.version;
  history_entry.change_id = change.change_id;
  for (const auto& [path, entry] : next.entries) {
    if (entry.version == next.version) {
      (entry.removed ? history_entry.removed : history_entry.set).push_back(path);
    }
  }
  return history_entry;
}

ChangeDecision repeatRecorded(const RegisterValue& current, const Change& change,
                              const RecordedChange& recorded) {
  ChangeDecision decision;
  decision.next = current;
  if (recorded.fingerprint != change.fingerprint()) {
    decision.code = ResultCode::ChangeIdReused;
    decision.version = current.document.version;
    return decision;
  }
  decision.code = recorded.code;
  decision.version = recorded.version;
  decision.repeated = true;
  return decision;
}

ChangeDecision rejectInvalid(const RegisterValue& current, std::vector<Fault> faults) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationInvalid;
  decision.version = current.document.version;
  decision.faults = std::move(faults);
  decision.next = current;
  return decision;
}

/** Rejects a change with an outdated base version and records the rejection. */
ChangeDecision rejectConflict(const RegisterValue& current, const Change& change) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationConflict;
  decision.version = current.document.version;
  decision.writes = true;
  decision.next = current;
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

}  // namespace

ChangeDecision commitChange(const RegisterValue& current, const Change& change, Document next) {
  ChangeDecision decision;
  decision.version = next.version;
  decision.writes = true;
  decision.next = current;
  decision.next.document = std::move(next);
  decision.next.history.push_back(describeChange(decision.next.document, change));
  keepNewest(decision.next.history, MaximumHistoryEntries);
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

ChangeDecision decideChange(const RegisterValue& current, const Change& change) {
  if (const RecordedChange* recorded = current.findRecorded(change.change_id)) {
    return repeatRecorded(current, change, *recorded);
  }
  const bool applies_to_any_base = change.base_version == AnyBaseVersion;
  std::vector<Fault> faults = checkChange(current.document, change);
  const bool has_id = !change.change_id.empty();
  if (has_id && !applies_to_any_base && change.base_version != current.document.version) {
    return rejectConflict(current, change);
  }
  Document next = applyChange(current.document, change);
  const std::vector<Fault> content_faults = checkDocument(next);
  faults.insert(faults.end(), content_faults.begin(), content_faults.end());
  if (!faults.empty()) {
    return rejectInvalid(current, std::move(faults));
  }
  return commitChange(current, change, std::move(next));
}

}  // namespace switchsaddle::configuration
