#include "switchsaddle/configuration/view.h"

#include <algorithm>

#include "parsed_configuration.h"
#include "share_tree.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::configuration {

namespace {

Tenant buildTenant(const std::string& name, const TenantEntry& entry,
                   const ParsedConfiguration& parsed) {
  Tenant tenant;
  tenant.name = name;
  tenant.shape = resolveShape(parsed.shapes.at(entry.shape), entry);
  tenant.stream_branch = entry.stream_branch;
  tenant.one_shot_branch = entry.one_shot_branch;
  return tenant;
}

[[noreturn]] void throwFirstFault(const std::vector<Fault>& faults) {
  const Fault& first = faults.front();
  throw base::Error(base::ResultCode::ConfigurationInvalid,
                    first.path + " " + first.message + ", the first of " +
                        std::to_string(faults.size()) + " faults",
                    first.path);
}

}  // namespace

const Route* View::routeOfModel(const std::string& model) const {
  for (const auto& [name, route] : routes) {
    if (route.service == CompletionsService && std::ranges::count(route.models, model) > 0) {
      return &route;
    }
  }
  return nullptr;
}

const Route* View::routeOfService(const std::string& service) const {
  if (service == CompletionsService) {
    return nullptr;
  }
  for (const auto& [name, route] : routes) {
    if (route.service == service) {
      return &route;
    }
  }
  return nullptr;
}

View buildView(const Document& document) {
  std::vector<Fault> faults;
  ParsedConfiguration parsed = parseConfiguration(document, faults);
  if (!faults.empty()) {
    throwFirstFault(faults);
  }
  View view;
  view.version = document.version;
  view.digest = document.digest();
  for (const auto& [name, entry] : parsed.tenants) {
    view.tenants.emplace(name, buildTenant(name, entry, parsed));
  }
  view.branches = resolveBranches(parsed.share);
  view.routes = std::move(parsed.routes);
  for (const auto& [id, key] : parsed.keys) {
    view.keys.emplace(key.sha256, key);
  }
  for (const auto& [id, hash] : parsed.operators) {
    view.operator_hashes.insert(hash);
  }
  view.evacuated_zones = std::move(parsed.evacuated_zones);
  view.workers_in_maintenance = std::move(parsed.workers_in_maintenance);
  view.forwarding = std::move(parsed.forwarding);
  view.forwarding.index();
  view.tuning = parsed.tuning;
  return view;
}

}  // namespace switchsaddle::configuration
