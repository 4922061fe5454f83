#include <algorithm>

#include "checks/checks.h"
#include "object_reader.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

void checkModels(ObjectReader& reader, const Route& route) {
  std::vector<std::string> earlier_models;
  for (std::size_t index = 0; index < route.models.size(); ++index) {
    const std::string& model = route.models[index];
    const std::string member = "models[" + std::to_string(index) + "]";
    if (!isModelName(model)) {
      reader.fault(member, ResultCode::InvalidValue,
                   "must be a model name of 1 to 128 letters, digits, '.', '_', ':', '/' and '-'");
    }
    if (std::ranges::find(earlier_models, model) != earlier_models.end()) {
      reader.fault(member, ResultCode::InvalidValue, "occurs more than once in the list");
    }
    earlier_models.push_back(model);
  }
  if (route.service == CompletionsService && route.models.empty()) {
    reader.fault("models", ResultCode::MissingField, "a route of completions must name its models");
  }
}

/** Reports a model or service that the route `owner` already serves. */
void addDuplicateFault(const std::string& path, const std::string& subject,
                       const std::string& owner, Faults& faults) {
  faults.push_back(
      {path, ResultCode::InvalidValue, subject + " is already served by routes/" + owner});
}

}  // namespace

void parseRoute(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  Route& route = parsed.routes[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  route.name = entry.name;
  route.service = reader.name("service");
  route.models = reader.texts("models");
  route.pool = reader.name("pool");
  checkModels(reader, route);
  reader.finish();
}

void checkRoutes(const ParsedConfiguration& parsed, Faults& faults) {
  std::map<std::string, std::string> owner_of_model;
  std::map<std::string, std::string> owner_of_service;
  for (const auto& [name, route] : parsed.routes) {
    const std::string path = "routes/" + name;
    if (route.service != CompletionsService) {
      const auto [owner, is_first] = owner_of_service.emplace(route.service, name);
      if (!is_first && !route.service.empty()) {
        addDuplicateFault(path + ".service", "the service '" + route.service + "'", owner->second,
                          faults);
      }
      continue;
    }
    for (const std::string& model : route.models) {
      const auto [owner, is_first] = owner_of_model.emplace(model, name);
      if (!is_first && owner->second != name) {
        addDuplicateFault(path + ".models", "the model '" + model + "'", owner->second, faults);
      }
    }
  }
}

}  // namespace switchsaddle::configuration
