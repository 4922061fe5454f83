#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** One thing a node holds true. */
struct StateEntry {
  /** What it is about, such as "configuration", "worker", "lease" or "session". */
  std::string subject;
  /** Which of them, such as a path or a worker's id. */
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  /** How long the node has held it, in milliseconds of its own clock. */
  std::int64_t since_ms = 0;
};

/** Everything a node believes: the body of GET /v1/beliefs. */
struct StateReport {
  std::string node;
  /** The node's clock; comparable with nothing but later reports of the same node. */
  std::int64_t now_ms = 0;
  std::vector<StateEntry> entries;
};

std::string renderStateReport(const StateReport& report);
/** Parses a report; returns nothing where faults were found. */
std::optional<StateReport> parseStateReport(const std::string& text, std::vector<Fault>& faults);

/** How two nodes differ over one thing. */
enum class StateDifferenceKind : std::uint8_t { OnlyFirst, OnlySecond, Different };

/** One thing that two nodes don't agree on. A side which lacks it has empty fields. */
struct StateDifference {
  StateDifferenceKind kind = StateDifferenceKind::Different;
  std::string subject;
  std::string key;
  std::optional<StateEntry> first;
  std::optional<StateEntry> second;
};

/**
 * The differences in order of subject and key. Versions and values are compared, ages are not.
 */
std::vector<StateDifference> compareStates(const StateReport& first, const StateReport& second);

/** {"first", "second", "differences": [{"kind", "subject", "key", "first", "second"}]}. */
std::string renderDifferencesJson(const StateReport& first, const StateReport& second,
                                  const std::vector<StateDifference>& differences);

/** The differences as text for people. */
std::string renderDifferences(const StateReport& first, const StateReport& second,
                              const std::vector<StateDifference>& differences);

}  // namespace switchsaddle::configuration
