#include "switchsaddle/configuration/source_document.h"

#include <map>
#include <set>
#include <utility>

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

ChangeDecision reject(const RegisterValue& current, ResultCode code, std::vector<Fault> faults) {
  ChangeDecision decision;
  decision.code = code;
  decision.version = current.document.version;
  decision.faults = std::move(faults);
  return decision;
}

ChangeDecision alreadyInForce(const RegisterValue& current) {
  ChangeDecision decision;
  decision.version = current.document.version;
  decision.repeated = true;
  return decision;
}

/** @return the recorded result of an earlier update with the same change_id. */
ChangeDecision repeatRecorded(const RecordedChange& recorded) {
  ChangeDecision decision;
  decision.code = recorded.code;
  decision.version = recorded.version;
  decision.repeated = true;
  return decision;
}

/** @return the change that makes the derived entries those of the translation. */
Change changeOfEntries(const Document& document, const SourceUpdate& update,
                       const SourceTranslation& translation) {
  Change change;
  change.change_id = update.change_id;
  change.base_version = document.version;
  std::set<std::string> derived_paths;
  for (const EntryChange& entry : translation.entries) {
    derived_paths.insert(entry.path);
    std::string json = canonicalText(entry.json);
    const auto current = document.entries.find(entry.path);
    const bool is_unchanged = current != document.entries.end() && !current->second.removed &&
                              current->second.json == json;
    if (!is_unchanged) {
      change.set.push_back({entry.path, std::move(json)});
    }
  }
  for (const auto& [path, entry] : document.entries) {
    const bool is_derived = path.starts_with(SourceEntriesPrefix);
    if (is_derived && !entry.removed && !derived_paths.contains(path)) {
      change.remove.push_back(path);
    }
  }
  return change;
}

/** Reports each path that the translation contains more than once. */
void checkPaths(const SourceTranslation& translation, std::vector<Fault>& faults) {
  std::map<std::string, std::size_t> counts;
  for (const EntryChange& entry : translation.entries) {
    if (++counts[entry.path] == 2) {
      faults.push_back(
          {entry.path, ResultCode::InvalidValue, "occurs more than once in the document"});
    }
  }
}

/** Decides on a translation that is free of faults and is based on the current revision. */
ChangeDecision commitTranslation(const RegisterValue& current, const SourceUpdate& update,
                                 SourceTranslation translation) {
  std::vector<Fault> faults;
  checkPaths(translation, faults);
  if (translation.revision <= current.source.revision) {
    faults.push_back(
        {"", ResultCode::InvalidValue, "the revision must be greater than the current revision"});
  }
  const Change change = changeOfEntries(current.document, update, translation);
  Document next = applyChange(current.document, change);
  const std::vector<Fault> content_faults = checkDocument(next);
  faults.insert(faults.end(), content_faults.begin(), content_faults.end());
  if (!faults.empty()) {
    return reject(current, ResultCode::ConfigurationInvalid, std::move(faults));
  }
  ChangeDecision decision = commitChange(current, change, std::move(next));
  decision.next.source = {translation.revision, std::move(translation.text)};
  return decision;
}

}  // namespace

ChangeDecision decideSourceUpdate(const RegisterValue& current, const SourceUpdate& update) {
  if (const RecordedChange* recorded = current.findRecorded(update.change_id)) {
    return repeatRecorded(*recorded);
  }
  if (update.base_revision != current.source.revision) {
    return reject(current, ResultCode::ConfigurationConflict, {});
  }
  SourceTranslation translation = update.translate(current.source.text);
  if (!translation.faults.empty()) {
    return reject(current, ResultCode::ConfigurationInvalid, std::move(translation.faults));
  }
  return commitTranslation(current, update, std::move(translation));
}

ChangeDecision decideEvacuation(const RegisterValue& current, const std::string& zone,
                                bool evacuated) {
  const auto entry = current.document.entries.find("evacuations/" + zone);
  const bool is_evacuated = entry != current.document.entries.end() && !entry->second.removed;
  if (is_evacuated == evacuated) {
    return alreadyInForce(current);
  }
  const std::string change_id = (evacuated ? "evacuate/" : "restore/") + zone + "/" +
                                std::to_string(current.document.version + 1);
  return decideChange(current, evacuationChange(change_id, zone, !evacuated));
}

}  // namespace switchsaddle::configuration
