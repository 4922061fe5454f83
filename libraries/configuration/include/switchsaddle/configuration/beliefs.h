#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration {

/** One thing a node holds true. */
struct Belief {
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
struct BeliefReport {
  std::string node;
  /** The node's clock; comparable with nothing but later reports of the same node. */
  std::int64_t now_ms = 0;
  std::vector<Belief> beliefs;
};

std::string renderBeliefs(const BeliefReport& report);
/** Parses a report; returns nothing where faults were found. */
std::optional<BeliefReport> parseBeliefs(const std::string& text, std::vector<Fault>& faults);

/** How two nodes differ over one thing. */
enum class BeliefDifferenceKind : std::uint8_t { OnlyFirst, OnlySecond, Different };

/** One thing that two nodes don't agree on. A side which lacks it has empty fields. */
struct BeliefDifference {
  BeliefDifferenceKind kind = BeliefDifferenceKind::Different;
  std::string subject;
  std::string key;
  std::optional<Belief> first;
  std::optional<Belief> second;
};

/**
 * The differences in order of subject and key. Versions and values are compared, ages are not.
 */
std::vector<BeliefDifference> compareBeliefs(const BeliefReport& first, const BeliefReport& second);

/** {"first", "second", "differences": [{"kind", "subject", "key", "first", "second"}]}. */
std::string renderDifferencesJson(const BeliefReport& first, const BeliefReport& second,
                                  const std::vector<BeliefDifference>& differences);

/** The differences as text for people. */
std::string renderDifferences(const BeliefReport& first, const BeliefReport& second,
                              const std::vector<BeliefDifference>& differences);

}  // namespace switchsaddle::configuration
