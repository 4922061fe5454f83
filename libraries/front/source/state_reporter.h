#pragma once

#include <map>
#include <string>

#include "switchsaddle/admission/ledger_slot_broker.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/journal/state_view.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** Who reports its beliefs. */
struct StateOwner {
  base::NodeAddress address;
  std::uint64_t instance = 0;
};

/**
 * What a front believes, for GET /v1/beliefs: the view of its journal, to which this class adds
 * what changes without an event, by looking at it at intervals: the state of the session, the terms
 * of the ledgers, and the slots held. Ages of the latter are exact to the interval. Runs on the
 * control strand.
 */
class StateReporter {
 public:
  StateReporter(base::Dispatcher& dispatcher, journal::Journal& journal, StateOwner owner,
                const sessions::SessionClient& session, const admission::LedgerSlotBroker& slots);

  /** Journals what has changed since the last look. */
  void poll();
  /** The body of GET /v1/beliefs, after a look. */
  std::string report();

 private:
  void note(journal::Subject subject, const std::string& key, const std::string& value,
            std::uint64_t version);
  void refreshSlots();

  base::Dispatcher& dispatcher_;
  journal::Journal& journal_;
  journal::StateView view_;
  StateOwner owner_;
  const sessions::SessionClient& session_;
  const admission::LedgerSlotBroker& slots_;
  /** Slots change with every request, so that they stay out of the journal. */
  std::map<std::string, journal::StateEntry> slot_state_;
};

}  // namespace switchsaddle::front
