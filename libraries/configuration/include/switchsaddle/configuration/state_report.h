#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** One item of a node's state. */
struct StateEntry {
  /** Kind of the item, such as "configuration", "worker", "lease" or "session". */
  std::string subject;
  /** Identifies the item within its subject, such as a path or a worker's id. */
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  /** Age of the value by the node's clock. */
  std::int64_t since_ms = 0;
};

/** The complete state of a node: the body of GET /v1/beliefs. */
struct StateReport {
  /** Address of the node. */
  std::string node;
  /** The node's clock; comparable only with reports of the same process. */
  std::int64_t now_ms = 0;
  std::vector<StateEntry> entries;
};

/** @return the report as JSON. */
std::string renderStateReport(const StateReport& report);
/**
 * Parses the output of renderStateReport().
 * @param faults receives all faults found.
 * @return the report, or std::nullopt if there was a fault.
 */
std::optional<StateReport> parseStateReport(const std::string& text, std::vector<Fault>& faults);

/** Kind of a difference: only one node has the item, or its values or versions differ. */
enum class StateDifferenceKind : std::uint8_t { OnlyFirst, OnlySecond, Different };

/** Difference between the states of two nodes in one item. */
struct StateDifference {
  StateDifferenceKind kind = StateDifferenceKind::Different;
  std::string subject;
  std::string key;
  /** std::nullopt if the first node does not have the item. */
  std::optional<StateEntry> first;
  /** std::nullopt if the second node does not have the item. */
  std::optional<StateEntry> second;
};

/** @return the differences in versions and values, ordered by subject and key. */
std::vector<StateDifference> compareStates(const StateReport& first, const StateReport& second);

/** @return {"first", "second", "differences": [{"kind", "subject", "key", "first", "second"}]}. */
std::string renderDifferencesJson(const StateReport& first, const StateReport& second,
                                  const std::vector<StateDifference>& differences);

/** @return the differences as human-readable text. */
std::string renderDifferences(const StateReport& first, const StateReport& second,
                              const std::vector<StateDifference>& differences);

}  // namespace switchsaddle::configuration
