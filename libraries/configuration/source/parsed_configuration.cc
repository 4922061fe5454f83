#include "parsed_configuration.h"

#include <array>

#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

/** A kind of entry: the prefix of its path and its parser. */
struct EntryKind {
  std::string_view prefix;
  /** The path after the prefix must be one name; otherwise the parser checks it. */
  bool is_named;
  void (*parse)(const EntryText&, ParsedConfiguration&, Faults&);
};

constexpr std::array EntryKinds{
    EntryKind{"evacuations/", true, parseEvacuation},
    EntryKind{"forwarding/pools/", false, parseForwardPool},
    EntryKind{"forwarding/routes/", false, parseForwardRoute},
    EntryKind{"forwarding/tenants/", false, parseForwardTenant},
    EntryKind{"keys/", true, parseKey},
    EntryKind{"maintenance/", false, parseMaintenance},
    EntryKind{"operators/", true, parseOperator},
    EntryKind{"routes/", true, parseRoute},
    EntryKind{"shapes/", true, parseShape},
    EntryKind{"share/", false, parseShare},
    EntryKind{"tenants/", true, parseTenant},
    EntryKind{"tuning/", true, parseTuning},
};

constexpr std::size_t MaximumEntries = 100'000;
constexpr JsonLimits EntryLimits{.maximum_bytes = 1'048'576, .maximum_depth = 8, .comments = false};

const EntryKind* findKind(const std::string& path) {
  for (const EntryKind& kind : EntryKinds) {
    if (path.starts_with(kind.prefix)) {
      return &kind;
    }
  }
  return nullptr;
}

void parseEntry(const wire::ConfigurationEntry& entry, ParsedConfiguration& parsed,
                Faults& faults) {
  const EntryKind* kind = findKind(entry.path);
  if (kind == nullptr) {
    faults.push_back({entry.path, ResultCode::UnknownPath,
                      "must begin with evacuations/, forwarding/pools/, forwarding/routes/, "
                      "forwarding/tenants/, keys/, maintenance/, operators/, routes/, shapes/, "
                      "share/, tenants/ or tuning/"});
    return;
  }
  EntryText text{entry.path, entry.path.substr(kind->prefix.size()), {}};
  if (kind->is_named && !isName(text.name)) {
    faults.push_back({entry.path, ResultCode::UnknownPath,
                      "must end in a name of 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"});
    return;
  }
  std::optional<JsonValue> value = parseJson(entry.json, EntryLimits, entry.path, faults);
  if (!value) {
    return;
  }
  text.value = std::move(*value);
  kind->parse(text, parsed, faults);
}

}  // namespace

ParsedConfiguration parseConfiguration(const Document& document, std::vector<Fault>& faults) {
  ParsedConfiguration parsed;
  std::size_t live_entries = 0;
  for (const auto& [path, entry] : document.entries) {
    if (!entry.removed) {
      ++live_entries;
      parseEntry(entry, parsed, faults);
    }
  }
  if (live_entries > MaximumEntries) {
    faults.push_back({"", ResultCode::BodyTooLarge,
                      "must contain at most " + std::to_string(MaximumEntries) + " entries"});
  }
  checkShapes(parsed, faults);
  checkTenants(parsed, faults);
  checkShareTree(parsed, faults);
  checkRoutes(parsed, faults);
  checkKeys(parsed, faults);
  checkForwarding(parsed, faults);
  return parsed;
}

}  // namespace switchsaddle::configuration
