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

/** The process whose state is reported. */
struct StateOwner {
  base::NodeAddress address;
  std::uint64_t instance = 0;
};

/**
 * The state of a front, for GET /v1/beliefs: the view of its journal, and state that changes
 * without an event, which this class polls: the session, the terms of the ledgers, and the
 * allocated slots. The ages of polled state are accurate to the polling interval. Runs on the
 * control strand.
 */
class StateReporter {
 public:
  StateReporter(base::Dispatcher& dispatcher, journal::Journal& journal, StateOwner owner,
                const sessions::SessionClient& session, const admission::LedgerSlotBroker& slots);

  /** Appends to the journal what has changed since the last poll. */
  void poll();
  /** Polls.
   * @return the body of GET /v1/beliefs. */
  std::string report();

 private:
  /** Appends the entry to the journal unless its value is unchanged. */
  void recordIfChanged(journal::Subject subject, const std::string& key, const std::string& value,
                       std::uint64_t version);
  void refreshSlots();

  base::Dispatcher& dispatcher_;
  journal::Journal& journal_;
  journal::StateView view_;
  StateOwner owner_;
  const sessions::SessionClient& session_;
  const admission::LedgerSlotBroker& slots_;
  /** Not in the journal, since slots change with each request. */
  std::map<std::string, journal::StateEntry> slot_state_;
};

}  // namespace switchsaddle::front
