#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/random.h"

namespace switchsaddle::fuzz {

/**
 * Makes inputs that are nearly right out of right ones: flipped bits, odd numbers, cut, repeated
 * and moved pieces, pieces of other inputs. One seed always gives the same inputs.
 */
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  /** A changed copy of one input of the corpus, which holds one at least. */
  std::string next(const std::vector<std::string>& corpus);

 private:
  void change(std::string& input, const std::vector<std::string>& corpus);
  void flipBit(std::string& input);
  void setByte(std::string& input);
  void insertToken(std::string& input);
  void removeChunk(std::string& input);
  void repeatChunk(std::string& input);
  void splice(std::string& input, const std::string& other);
  std::size_t placeIn(const std::string& input);

  base::RandomSource random_;
};

}  // namespace switchsaddle::fuzz
