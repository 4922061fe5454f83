#pragma once

#include <string>
#include <vector>

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed_commands {

/** Where the evidence for a judgement stands. */
struct EvidenceFiles {
  std::vector<std::string> records;
  /** Folder of the workers' journals, each named after its worker. */
  std::string journals;
  /** May be empty: no orders. */
  std::string orders;
  /** fleet.json; may be empty: the zones of the workers aren't known. */
  std::string fleet;
};

/** Reads all of it. Throws base::Error, also where there are no calls or no journals. */
testbed::Evidence readEvidence(const EvidenceFiles& files);

}  // namespace switchsaddle::testbed_commands
