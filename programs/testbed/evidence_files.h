#pragma once

#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed_commands {

/** Paths of the files that a recorded run is checked from. */
struct EvidenceFiles {
  std::vector<std::string> records;
  /** Folder of the workers' journals; each file is named after its worker. */
  std::string journals;
  /** Order record; empty if there are no orders. */
  std::string orders;
  /** Path of fleet.json; empty if the zones of the workers are unknown. */
  std::string fleet;
};

/** Reads all files. Throws base::Error, also if there are no calls or no journals. */
testbed::Evidence readEvidence(const EvidenceFiles& files);

}  // namespace switchsaddle::testbed_commands
