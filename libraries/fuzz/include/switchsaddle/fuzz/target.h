#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace switchsaddle::fuzz {

/** A target violated one of its checks, such as a different result when it reads its own output. */
class Violation : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/** One parser of external input, with valid inputs as corpus. */
struct Target {
  std::string name;
  std::vector<std::string> corpus;
  /**
   * Parses one input. Returns if the input was accepted or rejected, or throws base::Error if it
   * was rejected. Any other exception is a defect of the parser.
   */
  std::function<void(const std::string& input)> run;
};

/**
 * All targets. The corpus of each is the files in the folder of its name below `corpus_folder`, and
 * its built-in samples. Throws base::Error with UnknownPath if a corpus is empty.
 */
std::vector<Target> allTargets(const std::string& corpus_folder);

/** The HTTP server on the loopback address. It must answer a valid request after each input. */
Target httpServerTarget();
/** @return a target that reads the input as a response, then a valid one. */
Target httpClientTarget();

/** The result of running a target. */
struct FuzzReport {
  std::size_t executions = 0;
  /** The first inputs that revealed a defect, each with the exception's text; at most five. */
  std::vector<std::pair<std::string, std::string>> faults;
  /** The input that took longest, and its time in milliseconds, for manual inspection. */
  std::string slowest_input;
  double slowest_ms = 0;
};

/** Runs the corpus, then mutated inputs while `continues`, called before each one, returns true. */
FuzzReport runTarget(const Target& target, std::uint64_t seed,
                     const std::function<bool(std::size_t executions)>& continues);

}  // namespace switchsaddle::fuzz
