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

/** @return the history line of a change: the entries that it actually set and removed. */
HistoryEntry describeChange(const Document& next, const Change& change) {
  HistoryEntry line;
  line.version = next.version;
  line.change_id = change.change_id;
  for (const auto& [path, entry] : next.entries) {
    if (entry.version == next.version) {
      (entry.removed ? line.removed : line.set).push_back(path);
    }
  }
  return line;
}

ChangeDecision repeatRecorded(const RegisterValue& present, const Change& change,
                              const RecordedChange& recorded) {
  ChangeDecision decision;
  decision.next = present;
  if (recorded.fingerprint != change.fingerprint()) {
    decision.code = ResultCode::ChangeIdReused;
    decision.version = present.document.version;
    return decision;
  }
  decision.code = recorded.code;
  decision.version = recorded.version;
  decision.repeated = true;
  return decision;
}

ChangeDecision rejectInvalid(const RegisterValue& present, std::vector<Fault> faults) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationInvalid;
  decision.version = present.document.version;
  decision.faults = std::move(faults);
  decision.next = present;
  return decision;
}

/** Rejects a change with an outdated base version and records the rejection. */
ChangeDecision rejectConflict(const RegisterValue& present, const Change& change) {
  ChangeDecision decision;
  decision.code = ResultCode::ConfigurationConflict;
  decision.version = present.document.version;
  decision.writes = true;
  decision.next = present;
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

}  // namespace

ChangeDecision commitChange(const RegisterValue& present, const Change& change, Document next) {
  ChangeDecision decision;
  decision.version = next.version;
  decision.writes = true;
  decision.next = present;
  decision.next.document = std::move(next);
  decision.next.history.push_back(describeChange(decision.next.document, change));
  keepNewest(decision.next.history, MaximumHistoryEntries);
  record(decision.next, change, decision.code, decision.version);
  return decision;
}

ChangeDecision decideChange(const RegisterValue& present, const Change& change) {
  if (const RecordedChange* recorded = present.findRecorded(change.change_id)) {
    return repeatRecorded(present, change, *recorded);
  }
  const bool applies_to_any_base = change.base_version == AnyBaseVersion;
  std::vector<Fault> faults = checkChange(present.document, change);
  const bool has_id = !change.change_id.empty();
  if (has_id && !applies_to_any_base && change.base_version != present.document.version) {
    return rejectConflict(present, change);
  }
  Document next = applyChange(present.document, change);
  const std::vector<Fault> content_faults = checkDocument(next);
  faults.insert(faults.end(), content_faults.begin(), content_faults.end());
  if (!faults.empty()) {
    return rejectInvalid(present, std::move(faults));
  }
  return commitChange(present, change, std::move(next));
}

}  // namespace switchsaddle::configuration
