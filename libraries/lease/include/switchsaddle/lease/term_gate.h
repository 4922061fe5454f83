#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace switchsaddle::lease {

/** Refuses messages of former holders: per lease name, terms never go back. One strand. */
class TermGate {
 public:
  /** Whether a message with this term is to be taken; false (StaleTerm) below the highest seen. */
  bool accept(const std::string& name, std::uint64_t term);
  /** The highest term seen; 0 where there is none. */
  std::uint64_t highest(const std::string& name) const;

 private:
  std::map<std::string, std::uint64_t> highest_;
};

}  // namespace switchsaddle::lease
