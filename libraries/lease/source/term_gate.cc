#include "switchsaddle/lease/term_gate.h"

namespace switchsaddle::lease {

bool TermGate::accept(const std::string& name, std::uint64_t term) {
  std::uint64_t& highest = highest_[name];
  if (term < highest) {
    return false;
  }
  highest = term;
  return true;
}

std::uint64_t TermGate::highest(const std::string& name) const {
  const auto found = highest_.find(name);
  return found == highest_.end() ? 0 : found->second;
}

}  // namespace switchsaddle::lease
