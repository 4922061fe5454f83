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

void CoreSelection::replace(const std::vector<base::NodeAddress>& cores) {
  const auto found =
      cores_.empty() ? cores.end() : std::find(cores.begin(), cores.end(), *current());
  const std::size_t index =
      found == cores.end() ? 0 : static_cast<std::size_t>(found - cores.begin());
  cores_ = cores;
  current_ = index;
}

void CoreSelection::add(const std::vector<base::NodeAddress>& cores) {
  for (const base::NodeAddress& core : cores) {
    if (std::find(cores_.begin(), cores_.end(), core) == cores_.end()) {
      cores_.push_back(core);
    }
  }
}

}  // namespace switchsaddle::sessions
