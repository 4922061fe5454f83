#include "switchsaddle/configuration/source_document.h"

#include <map>
#include <set>
#include <utility>

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

ChangeDecision refuse(const RegisterValue& present, ResultCode code, std::vector<Fault> faults) {
  ChangeDecision decision;
  decision.code = code;
  decision.version = present.document.version;
  decision.faults = std::move(faults);
  return decision;
}

ChangeDecision alreadyInForce(const RegisterValue& present) {
  ChangeDecision decision;
  decision.version = present.document.version;
  decision.repeated = true;
  return decision;
}

/** The change of the entries that differ from those the new source text derives. */
Change changeOfEntries(const Document& document, const SourceUpdate& update,
                       const SourceTranslation& translation) {
  Change change;
  change.change_id = update.change_id;
  change.base_version = document.version;
  std::set<std::string> wanted;
  for (const EntryChange& entry : translation.entries) {
    wanted.insert(entry.path);
    std::string json = canonicalText(entry.json);
    const auto present = document.entries.find(entry.path);
    const bool same = present != document.entries.end() && !present->second.removed &&
                      present->second.json == json;
    if (!same) {
      change.set.push_back({entry.path, std::move(json)});
    }
  }
  for (const auto& [path, entry] : document.entries) {
    const bool derived = path.starts_with(SourceEntriesPrefix);
    if (derived && !entry.removed && !wanted.contains(path)) {
      change.remove.push_back(path);
    }
  }
  return change;
}

/** Two entries at one path: the source names one thing twice. */
void checkPaths(const SourceTranslation& translation, std::vector<Fault>& faults) {
  std::map<std::string, std::size_t> counts;
  for (const EntryChange& entry : translation.entries) {
    if (++counts[entry.path] == 2) {
      faults.push_back({entry.path, ResultCode::InvalidValue, "stands in the document twice"});
    }
  }
}

}  // namespace

ChangeDecision decideSourceUpdate(const RegisterValue& present, const SourceUpdate& update) {
  if (const RecordedChange* recorded = present.findRecorded(update.change_id)) {
    ChangeDecision decision;
    decision.code = recorded->code;
    decision.version = recorded->version;
    decision.repeated = true;
    return decision;
  }
  SourceTranslation translation = update.translate(present.source.text);
  const bool in_force_already = translation.faults.empty() &&
                                translation.revision == present.source.revision &&
                                translation.text == present.source.text;
  if (in_force_already) {
    return alreadyInForce(present);
  }
  if (update.base_revision != present.source.revision) {
    return refuse(present, ResultCode::ConfigurationConflict, {});
  }
  if (!translation.faults.empty()) {
    return refuse(present, ResultCode::ConfigurationInvalid, std::move(translation.faults));
  }
  std::vector<Fault> faults;
  checkPaths(translation, faults);
  if (translation.revision <= present.source.revision) {
    faults.push_back({"", ResultCode::InvalidValue, "the revision is not above the present one"});
  }
  const Change change = changeOfEntries(present.document, update, translation);
  Document next = applyChange(present.document, change);
  const std::vector<Fault> content_faults = checkDocument(next);
  faults.insert(faults.end(), content_faults.begin(), content_faults.end());
  if (!faults.empty()) {
    return refuse(present, ResultCode::ConfigurationInvalid, std::move(faults));
  }
  ChangeDecision decision = commitChange(present, change, std::move(next));
  decision.next.source = {translation.revision, std::move(translation.text)};
  return decision;
}

ChangeDecision decideEvacuation(const RegisterValue& present, const std::string& zone,
                                bool evacuated) {
  const auto entry = present.document.entries.find("evacuations/" + zone);
  const bool is_evacuated = entry != present.document.entries.end() && !entry->second.removed;
  if (is_evacuated == evacuated) {
    return alreadyInForce(present);
  }
  const std::string change_id = (evacuated ? "evacuate/" : "restore/") + zone + "/" +
                                std::to_string(present.document.version + 1);
  return decideChange(present, evacuationChange(change_id, zone, !evacuated));
}

}  // namespace switchsaddle::configuration
