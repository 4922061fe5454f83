#include "switchsaddle/journal/state_view.h"

#include "switchsaddle/base/hash.h"

namespace switchsaddle::journal {

StateView::StateView(Journal& journal) {
  for (const Event& event : journal.events()) {
    apply(event);
  }
  journal.addListener(callbacks_.guard([this](const Event& event) { apply(event); }));
}

void StateView::apply(const Event& event) {
  const Key key{event.subject, event.key};
  if (event.value.empty()) {
    entries_.erase(key);
    return;
  }
  entries_[key] = {event.value, event.version, event.at};
}

std::uint64_t StateView::digest(Subject subject) const {
  std::uint64_t digest = 0;
  for (const auto& [key, entry] : entries_) {
    if (key.first != subject) {
      continue;
    }
    digest = base::combineHashes(digest, base::hashBytes(key.second, entry.version));
    digest = base::combineHashes(digest, base::hashBytes(entry.value));
  }
  return digest;
}

}  // namespace switchsaddle::journal
