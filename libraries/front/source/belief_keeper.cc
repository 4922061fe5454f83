#include "belief_keeper.h"

#include <utility>

#include "switchsaddle/dissemination/belief_report.h"

namespace switchsaddle::front {

namespace {

using journal::Subject;
using sessions::SessionState;

const char* stateName(SessionState state) {
  switch (state) {
    case SessionState::Lapsed:
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

BeliefKeeper::BeliefKeeper(base::Dispatcher& dispatcher, journal::Journal& journal,
                           BeliefOwner owner, const sessions::SessionClient& session,
                           const admission::LedgerSlotBroker& slots)
    : dispatcher_(dispatcher),
      journal_(journal),
      view_(journal),
      owner_(std::move(owner)),
      session_(session),
      slots_(slots) {}

void BeliefKeeper::note(Subject subject, const std::string& key, const std::string& value,
                        std::uint64_t version) {
  const auto held = view_.beliefs().find({subject, key});
  const bool known = held != view_.beliefs().end();
  const bool same =
      known ? held->second.value == value && held->second.version == version : value.empty();
  if (!same) {
    journal_.append(subject, key, value, version);
  }
}

void BeliefKeeper::look() {
  const SessionState state = session_.state();
  // The same words as in the cores' session tables, so that the two can be compared.
  note(Subject::Session, owner_.address.toString(),
       isOpen(state) ? "live, instance " + std::to_string(owner_.instance) : std::string(), 0);
  note(Subject::Session, "state", stateName(state), 0);
  for (const auto& [shard, term] : slots_.ledgerTerms()) {
    note(Subject::Lease, "limit-ledger/" + std::to_string(shard) + ", term heard",
         std::to_string(term), term);
  }
  lookAtSlots();
}

void BeliefKeeper::lookAtSlots() {
  for (const auto& [branch, held, in_use] : slots_.holdings()) {
    const std::string value = std::to_string(held) + " held, " + std::to_string(in_use) + " in use";
    journal::Belief& belief = slot_beliefs_[branch];
    if (belief.value != value) {
      belief = {value, 0, dispatcher_.now()};
    }
  }
}

std::string BeliefKeeper::report() {
  look();
  const base::TimePoint now = dispatcher_.now();
  configuration::BeliefReport report = dissemination::reportBeliefs(owner_.address, view_, now);
  for (const auto& [branch, belief] : slot_beliefs_) {
    report.beliefs.push_back({journal::subjectName(Subject::Limits), branch, belief.value, 0,
                              base::toMilliseconds(now - belief.at)});
  }
  return configuration::renderBeliefs(report);
}

}  // namespace switchsaddle::front
