#include "switchsaddle/journal/belief_view.h"

#include "switchsaddle/base/hash.h"

namespace switchsaddle::journal {

BeliefView::BeliefView(Journal& journal) {
  for (const Event& event : journal.events()) {
    fold(event);
  }
  journal.addListener([this](const Event& event) { fold(event); });
}

void BeliefView::fold(const Event& event) {
  const Key key{event.subject, event.key};
  if (event.value.empty()) {
    beliefs_.erase(key);
    return;
  }
  beliefs_[key] = {event.value, event.version, event.at};
}

std::uint64_t BeliefView::digest(Subject subject) const {
  std::uint64_t digest = 0;
  for (const auto& [key, belief] : beliefs_) {
    if (key.first != subject) {
      continue;
    }
    digest = base::combineHashes(digest, base::hashBytes(key.second, belief.version));
    digest = base::combineHashes(digest, base::hashBytes(belief.value));
  }
  return digest;
}

}  // namespace switchsaddle::journal
