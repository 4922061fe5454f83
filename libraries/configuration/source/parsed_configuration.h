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

/** A number of a shape: a literal or a reference to a parameter. */
struct ShapeNumber {
  /** The literal, or the default. */
  std::int64_t value = 0;
  /** Name of the parameter referred to; empty for a literal. */
  std::string parameter;
};

/** The entry shapes/NAME: a session shape with unresolved parameters. */
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

/** The entry share/PATH. */
struct ShareEntry {
  /** Slots of the root; zero for other branches. */
  std::uint32_t slots = 0;
  /** Weight in the division of the parent's slots among its children; zero for the root. */
  std::uint32_t weight = 0;
};

/**
 * The parsed entries of a document. Faulty entries may be included with default values, so that
 * references to them are not reported as further faults.
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
  /** Without its indexes; see Forwarding::index(). */
  Forwarding forwarding;
  Tuning tuning;
};

/** Parses all live entries, checks their references and appends every fault. */
ParsedConfiguration parseConfiguration(const Document& document, std::vector<Fault>& faults);

/** @return the tenant's shape. The configuration must be free of faults. */
SessionShape resolveShape(const ShapeTemplate& shape, const TenantEntry& tenant);

}  // namespace switchsaddle::configuration
