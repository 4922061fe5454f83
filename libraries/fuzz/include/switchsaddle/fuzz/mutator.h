#pragma once

#include <string>
#include <vector>

#include "switchsaddle/base/random.h"

namespace switchsaddle::fuzz {

/**
 * Creates nearly valid inputs from valid ones: flips bits, sets special bytes, inserts tokens,
 * removes and repeats chunks, and joins chunks of two inputs. The same seed gives the same inputs.
 */
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  /** A mutated copy of one input of the corpus, which must not be empty. */
  std::string next(const std::vector<std::string>& corpus);

 private:
  void change(std::string& input, const std::vector<std::string>& corpus);
  void flipBit(std::string& input);
  void setByte(std::string& input);
  void insertToken(std::string& input);
  void removeChunk(std::string& input);
  void repeatChunk(std::string& input);
  void splice(std::string& input, const std::string& other);
  std::size_t randomOffset(const std::string& input);

  base::RandomSource random_;
};

}  // namespace switchsaddle::fuzz
