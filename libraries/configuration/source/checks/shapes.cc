#include <algorithm>
#include <array>

#include "checks/checks.h"
#include "checks/shape_fields.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr IntegerRange AnyParameter{0, 1'000'000'000};

ShapeParameter parseParameter(const JsonValue& value, const std::string& path, Faults& faults) {
  ObjectReader reader(value, path, faults);
  const JsonValue* type = reader.required("type");
  if (type != nullptr && type->text != "integer") {
    reader.fault("type", ResultCode::InvalidValue, "must be \"integer\"");
  }
  ShapeParameter parameter;
  parameter.minimum = reader.integer("minimum", AnyParameter, AnyParameter.minimum);
  parameter.maximum = reader.integer("maximum", AnyParameter, AnyParameter.maximum);
  reader.required("default");
  parameter.default_value = reader.integer("default", AnyParameter, parameter.minimum);
  if (parameter.minimum > parameter.maximum) {
    reader.fault("minimum", ResultCode::InvalidValue, "must be at most the maximum");
  } else if (parameter.default_value < parameter.minimum ||
             parameter.default_value > parameter.maximum) {
    reader.fault("default", ResultCode::InvalidValue, "must lie between minimum and maximum");
  }
  reader.finish();
  return parameter;
}

void parseParameters(ObjectReader& reader, ShapeTemplate& shape, Faults& faults) {
  const JsonValue* parameters = reader.optionalObject("parameters");
  if (parameters == nullptr) {
    return;
  }
  for (std::size_t index = 0; index < parameters->names.size(); ++index) {
    const std::string& name = parameters->names[index];
    const std::string path = reader.pathOf("parameters." + name);
    if (!isName(name)) {
      faults.push_back({path, ResultCode::InvalidValue,
                        "must have a name of 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"});
    }
    shape.parameters[name] = parseParameter(parameters->elements[index], path, faults);
  }
}

/** Checks that each valid value of the parameter is a valid value of the field. */
void checkParameterRange(const ShapeParameter& parameter, const ShapeField& field,
                         const std::string& name, ObjectReader& reader) {
  if (parameter.minimum < field.range.minimum || parameter.maximum > field.range.maximum) {
    reader.fault(field.name, ResultCode::InvalidValue,
                 "the parameter " + name + " must stay in the range from " +
                     std::to_string(field.range.minimum) + " to " +
                     std::to_string(field.range.maximum));
  }
}

ShapeNumber parseField(ObjectReader& reader, const ShapeField& field, const ShapeTemplate& shape,
                       Faults& faults) {
  ShapeNumber number;
  number.value = field.default_value;
  const JsonValue* value = reader.optional(field.name);
  if (value == nullptr) {
    return number;
  }
  if (value->kind != JsonKind::String) {
    if (checkInteger(*value, field.range, reader.pathOf(field.name), faults)) {
      number.value = value->integer;
    }
    return number;
  }
  number.parameter = value->text.starts_with('$') ? value->text.substr(1) : std::string{};
  const auto parameter = shape.parameters.find(number.parameter);
  if (parameter == shape.parameters.end()) {
    reader.fault(field.name, ResultCode::InvalidValue,
                 "must be an integer or \"$NAME\" of a parameter of this shape");
    number.parameter.clear();
    return number;
  }
  checkParameterRange(parameter->second, field, number.parameter, reader);
  return number;
}

void parseServices(ObjectReader& reader, ShapeTemplate& shape) {
  const JsonValue* services = reader.required("services");
  shape.services = reader.texts("services");
  std::vector<std::string> sorted = shape.services;
  std::ranges::sort(sorted);
  if (std::ranges::adjacent_find(sorted) != sorted.end()) {
    reader.fault("services", ResultCode::InvalidValue, "must name each service only once");
  }
  if (services != nullptr && services->kind == JsonKind::Array && services->elements.empty()) {
    reader.fault("services", ResultCode::InvalidValue, "must name at least one service");
  }
}

void checkParametersAreUsed(ObjectReader& reader, const ShapeTemplate& shape) {
  for (const auto& [name, parameter] : shape.parameters) {
    const bool is_used =
        std::ranges::any_of(ShapeFields, [&, &name = name](const ShapeField& field) {
          return (shape.*field.member).parameter == name;
        });
    if (!is_used) {
      reader.fault("parameters." + name, ResultCode::InvalidValue,
                   "is not used by any field of this shape");
    }
  }
}

}  // namespace

void parseShape(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  ShapeTemplate& shape = parsed.shapes[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  parseParameters(reader, shape, faults);
  parseServices(reader, shape);
  for (const ShapeField& field : ShapeFields) {
    shape.*field.member = parseField(reader, field, shape, faults);
  }
  checkParametersAreUsed(reader, shape);
  reader.finish();
}

void checkShapes(const ParsedConfiguration& parsed, Faults& faults) {
  for (const auto& [name, shape] : parsed.shapes) {
    for (std::size_t index = 0; index < shape.services.size(); ++index) {
      const std::string& service = shape.services[index];
      const bool is_served = std::ranges::any_of(
          parsed.routes, [&](const auto& route) { return route.second.service == service; });
      if (!is_served) {
        faults.push_back({"shapes/" + name + ".services[" + std::to_string(index) + "]",
                          ResultCode::InvalidValue,
                          "no route serves the service '" + service + "'"});
      }
    }
  }
}

}  // namespace switchsaddle::configuration
