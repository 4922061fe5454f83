#include <algorithm>

#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

namespace {

constexpr std::size_t MaximumWorkerNameLength = 200;

bool isWorkerName(const std::string& name) {
  const auto is_visible = [](char character) { return character > ' ' && character < '\x7f'; };
  return !name.empty() && name.size() <= MaximumWorkerNameLength &&
         std::ranges::all_of(name, is_visible);
}

}  // namespace

void parseMaintenance(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  if (!isWorkerName(entry.name)) {
    faults.push_back({entry.path, base::ResultCode::UnknownPath,
                      "must end in a worker's name of 1 to 200 visible characters"});
    return;
  }
  parsed.workers_in_maintenance.insert(entry.name);
  ObjectReader reader(entry.value, entry.path, faults);
  reader.finish();
}

}  // namespace switchsaddle::configuration
