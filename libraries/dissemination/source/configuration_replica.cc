#include "switchsaddle/dissemination/configuration_replica.h"

#include <string>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::dissemination {

ConfigurationReplica::ConfigurationReplica(journal::Journal& journal)
    : journal_(journal), digest_(document_.digest()) {}

ApplyOutcome ConfigurationReplica::apply(const wire::ConfigurationDelta& delta) {
  if (delta.to_version <= document_.version) {
    return ApplyOutcome::NotNewer;
  }
  configuration::Document next = document_;
  if (!next.apply(delta)) {
    return ApplyOutcome::Mismatch;
  }
  ViewPtr view;
  try {
    view = std::make_shared<configuration::View>(configuration::buildView(next));
  } catch (const base::Error& error) {
    journal_.append(journal::Subject::Configuration, "refused", error.what(), delta.to_version);
    return ApplyOutcome::Rejected;
  }
  document_ = std::move(next);
  digest_ = delta.digest;
  view_ = std::move(view);
  journalEntries(delta);
  const std::vector<Listener> listeners = listeners_;
  for (const Listener& listener : listeners) {
    listener(view_);
  }
  return ApplyOutcome::Applied;
}

void ConfigurationReplica::journalEntries(const wire::ConfigurationDelta& delta) {
  for (const wire::ConfigurationEntry& entry : delta.entries) {
    const auto current = document_.entries.find(entry.path);
    const bool in_force =
        current != document_.entries.end() && current->second.version == entry.version;
    if (in_force) {
      journal_.append(journal::Subject::Configuration, entry.path,
                      entry.removed ? std::string() : entry.json, entry.version);
    }
  }
  journal_.append(journal::Subject::Configuration, "version", std::to_string(document_.version),
                  document_.version);
}

}  // namespace switchsaddle::dissemination
