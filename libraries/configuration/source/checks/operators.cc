#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

void parseOperator(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  ObjectReader reader(entry.value, entry.path, faults);
  parsed.operators[entry.name] = reader.sha256("sha256");
  reader.finish();
}

}  // namespace switchsaddle::configuration
