#include "core_selection.h"

#include <algorithm>

namespace switchsaddle::sessions {

const base::NodeAddress* CoreSelection::current() const {
  return cores_.empty() ? nullptr : &cores_[current_ % cores_.size()];
}

bool CoreSelection::switchFrom(const base::NodeAddress& core) {
  const bool is_current = !cores_.empty() && *current() == core;
  if (is_current) {
    current_ = (current_ + 1) % cores_.size();
  }
  return is_current;
}

void CoreSelection::switchAtRandom(base::RandomSource& random) {
  if (cores_.size() > 1) {
    current_ = (current_ + 1 + random.below(cores_.size() - 1)) % cores_.size();
  }
}

void CoreSelection::replace(const std::vector<base::NodeAddress>& cores,
                            base::RandomSource& random) {
  const base::NodeAddress next = chooseAmong(cores, random);
  cores_ = cores;
  current_ = static_cast<std::size_t>(std::ranges::find(cores_, next) - cores_.begin());
}

base::NodeAddress CoreSelection::chooseAmong(const std::vector<base::NodeAddress>& cores,
                                             base::RandomSource& random) const {
  const base::NodeAddress* used = current();
  if (used == nullptr || std::ranges::find(cores, *used) == cores.end()) {
    return cores[random.below(cores.size())];
  }
  std::vector<base::NodeAddress> added = cores;
  std::erase_if(added, [this](const base::NodeAddress& core) {
    return std::ranges::find(cores_, core) != cores_.end();
  });
  const bool moves = random.below(cores.size()) < added.size();
  return moves ? added[random.below(added.size())] : *used;
}

void CoreSelection::add(const std::vector<base::NodeAddress>& cores) {
  for (const base::NodeAddress& core : cores) {
    if (std::find(cores_.begin(), cores_.end(), core) == cores_.end()) {
      cores_.push_back(core);
    }
  }
}

}  // namespace switchsaddle::sessions
