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

/** What became of a delta handed to the replica. */
enum class ApplyOutcome : std::uint8_t {
  /** The delta is in force. */
  Applied,
  /** This node already holds its version or a newer one. */
  NotNewer,
  /** The delta starts above the version held here, or its digest does not fit: fetch the rest. */
  DoesNotFit,
  /** The configuration it leads to cannot be read here; the former stays in force. */
  Refused,
};

/**
 * The configuration in force on this node. Deltas are applied strictly in the order of their
 * versions; each changed entry is journalled, then the listeners hear the new view. Once apply()
 * returns Applied the whole node works by the new configuration. Runs on the control strand.
 */
class ConfigurationReplica {
 public:
  using Listener = std::function<void(const ViewPtr&)>;

  explicit ConfigurationReplica(journal::Journal& journal);

  ApplyOutcome apply(const wire::ConfigurationDelta& delta);
  const configuration::Document& document() const { return document_; }
  std::uint64_t version() const { return document_.version; }
  /** The digest of the document in force. */
  std::uint64_t digest() const { return digest_; }
  /** The view in force; at version 0 one without entries. Never null. */
  const ViewPtr& view() const { return view_; }
  void addListener(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  void journalEntries(const wire::ConfigurationDelta& delta);

  journal::Journal& journal_;
  configuration::Document document_;
  std::uint64_t digest_ = 0;
  ViewPtr view_ = std::make_shared<configuration::View>();
  std::vector<Listener> listeners_;
};

}  // namespace switchsaddle::dissemination
