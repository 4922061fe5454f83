#include "switchsaddle/configuration/forwarding.h"

namespace switchsaddle::configuration {

std::optional<double> QuotaBounds::limitOf(const ForwardTenant& tenant) const {
  if (tenant.rate_per_s <= 0 && tenant.burst <= 0) {
    return std::nullopt;
  }
  return (tenant.rate_per_s * window_s + tenant.burst) * (1 + overshoot) + slack;
}

void Forwarding::index() {
  by_host_.clear();
  tenant_of_key.clear();
  for (const auto& [name, route] : routes) {
    by_host_[route.host][route.path_prefix] = name;
  }
  for (const auto& [name, tenant] : tenants) {
    for (const std::string& hash : tenant.key_hashes) {
      tenant_of_key[hash] = name;
    }
  }
}

const ForwardRoute* Forwarding::find(std::string_view host, std::string_view path) const {
  const auto host_routes = by_host_.find(host);
  if (host_routes == by_host_.end()) {
    return nullptr;
  }
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = host_routes->second.find(path.substr(0, end + 1));
    if (found != host_routes->second.end()) {
      return &routes.at(found->second);
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const ForwardPool* Forwarding::findPool(const std::string& name) const {
  const auto found = pools.find(name);
  return found == pools.end() ? nullptr : &found->second;
}

const ForwardTenant* Forwarding::tenantOfKey(const std::string& sha256) const {
  const auto found = tenant_of_key.find(sha256);
  if (found == tenant_of_key.end()) {
    return nullptr;
  }
  const auto tenant = tenants.find(found->second);
  return tenant == tenants.end() ? nullptr : &tenant->second;
}

}  // namespace switchsaddle::configuration
