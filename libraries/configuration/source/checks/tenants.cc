#include <algorithm>

#include "checks/checks.h"
#include "checks/shape_fields.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

void parseTenantParameters(ObjectReader& reader, TenantEntry& tenant) {
  const JsonValue* parameters = reader.optionalObject("parameters");
  if (parameters == nullptr) {
    return;
  }
  for (std::size_t index = 0; index < parameters->names.size(); ++index) {
    const std::string& name = parameters->names[index];
    const JsonValue& value = parameters->elements[index];
    if (value.kind == JsonKind::Integer) {
      tenant.parameters[name] = value.integer;
    } else {
      reader.fault("parameters." + name, ResultCode::InvalidValue, "must be an integer");
    }
  }
}

std::string parseBranch(ObjectReader& reader, const std::string& member) {
  reader.required(member);
  return reader.text(member);
}

void checkParameters(const std::string& path, const TenantEntry& tenant, const ShapeTemplate& shape,
                     Faults& faults) {
  for (const auto& [name, value] : tenant.parameters) {
    const std::string parameter_path = path + ".parameters." + name;
    const auto parameter = shape.parameters.find(name);
    if (parameter == shape.parameters.end()) {
      faults.push_back({parameter_path, ResultCode::UnknownField,
                        "the shape '" + tenant.shape + "' has no such parameter"});
      continue;
    }
    const ShapeParameter& declared = parameter->second;
    if (value < declared.minimum || value > declared.maximum) {
      faults.push_back({parameter_path, ResultCode::InvalidValue,
                        "must lie between " + std::to_string(declared.minimum) + " and " +
                            std::to_string(declared.maximum)});
    }
  }
}

bool hasChildren(const ParsedConfiguration& parsed, const std::string& branch) {
  const auto child = parsed.share.lower_bound(branch + "/");
  return child != parsed.share.end() && child->first.starts_with(branch + "/");
}

void checkBranch(const std::string& path, const std::string& branch,
                 const ParsedConfiguration& parsed, Faults& faults) {
  if (branch.empty()) {
    return;
  }
  if (!parsed.share.contains(branch)) {
    faults.push_back({path, ResultCode::InvalidValue, "there is no entry share/" + branch});
  } else if (hasChildren(parsed, branch)) {
    // Sessions counted against both a branch and its children could exceed the branch's slots.
    faults.push_back(
        {path, ResultCode::InvalidValue,
         "share/" + branch + " has children; a tenant needs a branch without children"});
  }
}

}  // namespace

void parseTenant(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  TenantEntry& tenant = parsed.tenants[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  tenant.shape = reader.name("shape");
  parseTenantParameters(reader, tenant);
  tenant.stream_branch = parseBranch(reader, "stream_branch");
  tenant.one_shot_branch = parseBranch(reader, "one_shot_branch");
  for (const char* member : {"stream_branch", "one_shot_branch"}) {
    const JsonValue* value = entry.value.find(member);
    if (value != nullptr && value->kind == JsonKind::String && value->text.empty()) {
      reader.fault(member, ResultCode::InvalidValue, "must name a branch of the share tree");
    }
  }
  reader.finish();
}

void checkTenants(const ParsedConfiguration& parsed, Faults& faults) {
  for (const auto& [name, tenant] : parsed.tenants) {
    const std::string path = "tenants/" + name;
    const auto shape = parsed.shapes.find(tenant.shape);
    if (shape != parsed.shapes.end()) {
      checkParameters(path, tenant, shape->second, faults);
    } else if (!tenant.shape.empty()) {
      faults.push_back(
          {path + ".shape", ResultCode::InvalidValue, "there is no entry shapes/" + tenant.shape});
    }
    checkBranch(path + ".stream_branch", tenant.stream_branch, parsed, faults);
    checkBranch(path + ".one_shot_branch", tenant.one_shot_branch, parsed, faults);
  }
}

SessionShape resolveShape(const ShapeTemplate& shape, const TenantEntry& tenant) {
  SessionShape resolved;
  resolved.services = shape.services;
  for (const ShapeField& field : ShapeFields) {
    const ShapeNumber& number = shape.*field.member;
    std::int64_t value = number.value;
    if (!number.parameter.empty()) {
      const auto parameter = tenant.parameters.find(number.parameter);
      value = parameter != tenant.parameters.end()
                  ? parameter->second
                  : shape.parameters.at(number.parameter).default_value;
    }
    resolved.*field.resolved = static_cast<std::uint32_t>(value);
  }
  return resolved;
}

}  // namespace switchsaddle::configuration
