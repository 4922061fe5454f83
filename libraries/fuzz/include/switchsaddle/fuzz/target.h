#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace switchsaddle::fuzz {

/** A reader did what it must not do, such as taking an input that it then reads differently. */
class Violation : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/** One reader of input from outside, with right inputs to start from. */
struct Target {
  std::string name;
  std::vector<std::string> corpus;
  /**
   * Reads one input. Returns where it was taken or refused in order, base::Error included; throws
   * anything else for a fault of the reader.
   */
  std::function<void(const std::string& input)> run;
};

/**
 * All readers. Each has as corpus the files in the folder of its name below `corpus_folder`, and
 * where its input is binary, encoded samples besides.
 */
std::vector<Target> allTargets(const std::string& corpus_folder);

/** The HTTP server on loopback; it must answer a good request after each input. */
Target httpServerTarget();

/** What running a target found. */
struct FuzzReport {
  std::size_t executions = 0;
  /** Inputs that showed a fault, each with what was thrown; at most a few. */
  std::vector<std::pair<std::string, std::string>> faults;
  /** The input that took longest, and its time in milliseconds; for a person to look at. */
  std::string slowest_input;
  double slowest_ms = 0;
};

/** Runs the corpus and then changed inputs until `goes_on` says false, asked before each input. */
FuzzReport runTarget(const Target& target, std::uint64_t seed,
                     const std::function<bool(std::size_t executions)>& goes_on);

}  // namespace switchsaddle::fuzz
