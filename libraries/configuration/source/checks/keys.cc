#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

void parseKey(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  Key& key = parsed.keys[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  key.id = entry.name;
  key.sha256 = reader.sha256("sha256");
  key.tenant = reader.name("tenant");
  reader.finish();
}

void checkKeys(const ParsedConfiguration& parsed, Faults& faults) {
  std::map<std::string, std::string> owner_of_hash;
  for (const auto& [id, key] : parsed.keys) {
    const std::string path = "keys/" + id;
    if (!key.tenant.empty() && !parsed.tenants.contains(key.tenant)) {
      faults.push_back({path + ".tenant", base::ResultCode::InvalidValue,
                        "there is no entry tenants/" + key.tenant});
    }
    const auto [owner, is_first] = owner_of_hash.emplace(key.sha256, id);
    if (!is_first && !key.sha256.empty()) {
      faults.push_back({path + ".sha256", base::ResultCode::InvalidValue,
                        "must differ from the hash of keys/" + owner->second});
    }
  }
}

}  // namespace switchsaddle::configuration
