#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

void parseEvacuation(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  parsed.evacuated_zones.insert(entry.name);
  ObjectReader reader(entry.value, entry.path, faults);
  reader.finish();
}

}  // namespace switchsaddle::configuration
