#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/journal/journal.h"

namespace switchsaddle::dissemination {

using ViewPtr = std::shared_ptr<const configuration::View>;

/** The outcome of applying a delta to the replica. */
enum class ApplyOutcome : std::uint8_t {
  /** The delta is in force. */
  Applied,
  /** The replica has the version of the delta or a newer one. */
  NotNewer,
  /** The delta starts above the replica's version, or the digest differs: the delta from the
   * replica's version must be fetched. */
  Mismatch,
  /** This node rejects the resulting configuration as invalid; the previous one stays in force. */
  Rejected,
};

/**
 * The configuration in force on this node. Deltas are applied in the order of their versions: each
 * changed entry is journalled, and then the listeners are notified. Invariant: when apply() returns
 * Applied, every component of the node uses the new configuration. Runs on the control strand.
 */
class ConfigurationReplica {
 public:
  using Listener = std::function<void(const ViewPtr&)>;

  explicit ConfigurationReplica(journal::Journal& journal);

  ApplyOutcome apply(const wire::ConfigurationDelta& delta);
  const configuration::Document& document() const { return document_; }
  std::uint64_t version() const { return document_.version; }
  /** @return the digest of the document in force. */
  std::uint64_t digest() const { return digest_; }
  /** @return the view in force; it has no entries at version 0 and is never null. */
  const ViewPtr& view() const { return view_; }
  /** Listeners are notified in the order in which they were added. */
  void addListener(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  /** Journals the entries that the delta put in force, and the version. */
  void journalEntries(const wire::ConfigurationDelta& delta);

  journal::Journal& journal_;
  configuration::Document document_;
  std::uint64_t digest_ = 0;
  ViewPtr view_ = std::make_shared<configuration::View>();
  std::vector<Listener> listeners_;
};

}  // namespace switchsaddle::dissemination
