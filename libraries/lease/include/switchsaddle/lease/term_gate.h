#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace switchsaddle::lease {

/** Rejects messages of former lease holders by their term, the fencing token. Terms of one lease
 * name never decrease. Runs on one strand. */
class TermGate {
 public:
  /** @return whether a message with this term is current; false (StaleTerm) if the term is below
   * the highest one seen. */
  bool accept(const std::string& name, std::uint64_t term);
  /** @return the highest term seen; 0 before the first. */
  std::uint64_t highest(const std::string& name) const;

 private:
  std::map<std::string, std::uint64_t> highest_;
};

}  // namespace switchsaddle::lease
