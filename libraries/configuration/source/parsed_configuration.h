#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {

/** A parameter of a session shape: an integer with its default and range. */
struct ShapeParameter {
  std::int64_t default_value = 0;
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

/** A number of a shape: given, or taken from a parameter. */
struct ShapeNumber {
  std::int64_t value = 0;
  /** Name of the parameter that fills it in; empty where the number is given. */
  std::string parameter;
};

/** The template of shapes/NAME before its parameters are filled in. */
struct ShapeTemplate {
  std::map<std::string, ShapeParameter> parameters;
  std::vector<std::string> services;
  ShapeNumber first_token_ms;
  ShapeNumber stream_deadline_ms;
  ShapeNumber one_shot_deadline_ms;
  ShapeNumber maximum_tokens;
};

/** The entry tenants/NAME. */
struct TenantEntry {
  std::string shape;
  std::map<std::string, std::int64_t> parameters;
  std::string stream_branch;
  std::string one_shot_branch;
};

/** The entry share/PATH: absolute slots for the root, parts of the parent's slots for others. */
struct ShareEntry {
  std::uint32_t slots = 0;
  std::uint32_t parts = 0;
};

/**
 * All entries of a document that have a sound form. Entries with faults may be held in part, so
 * that references to them don't count as faults of their own.
 */
struct ParsedConfiguration {
  std::map<std::string, ShapeTemplate> shapes;
  std::map<std::string, TenantEntry> tenants;
  std::map<std::string, ShareEntry> share;
  std::map<std::string, Route> routes;
  std::map<std::string, Key> keys;
  std::map<std::string, std::string> operators;
  std::set<std::string> evacuated_zones;
  std::set<std::string> workers_in_maintenance;
  /** Not indexed. */
  Forwarding forwarding;
  Tuning tuning;
};

/** Parses all live entries and checks forms and references. Every fault is appended. */
ParsedConfiguration parseConfiguration(const Document& document, std::vector<Fault>& faults);

/** The shape a tenant gets. Requires a configuration without faults. */
SessionShape fillShape(const ShapeTemplate& shape, const TenantEntry& tenant);

}  // namespace switchsaddle::configuration
