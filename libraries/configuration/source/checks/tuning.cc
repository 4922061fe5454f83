#include <array>
#include <sstream>

#include "checks/checks.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

/** Name, range and member of a tuning value. */
struct TuningField {
  const char* name;
  double minimum;
  double maximum;
  bool is_integer;
  void (*store)(Tuning&, double);
};

constexpr std::array TuningFields{
    TuningField{"route-explore-share", 0, 1, false,
                [](Tuning& tuning, double value) { tuning.route_explore_share = value; }},
    TuningField{"route-weight-alpha", 0, 10, false,
                [](Tuning& tuning, double value) { tuning.route_weight_alpha = value; }},
    TuningField{"route-stats-half-life", 1, 604'800, false,
                [](Tuning& tuning, double value) { tuning.route_stats_half_life_s = value; }},
    TuningField{"route-min-sample-tokens", 0, 10'000, true,
                [](Tuning& tuning, double value) {
                  tuning.route_min_sample_tokens = static_cast<std::uint32_t>(value);
                }},
    TuningField{"route-candidates", 1, 64, true,
                [](Tuning& tuning, double value) {
                  tuning.route_candidates = static_cast<std::uint32_t>(value);
                }},
    TuningField{"route-prune-after", 60, 2'592'000, false,
                [](Tuning& tuning, double value) { tuning.route_prune_after_s = value; }},
    TuningField{"retry-share", 0, 0.5, false,
                [](Tuning& tuning, double value) { tuning.retry_share = value; }},
    TuningField{"maintenance-pool-share", 0, 1, false,
                [](Tuning& tuning, double value) { tuning.maintenance_pool_share = value; }},
    TuningField{"maintenance-capacity-share", 0, 1, false,
                [](Tuning& tuning, double value) { tuning.maintenance_capacity_share = value; }},
    TuningField{"maintenance-zone-workers", 1, 1'000, true,
                [](Tuning& tuning, double value) {
                  tuning.maintenance_zone_workers = static_cast<std::uint32_t>(value);
                }},
};

bool isWithin(const TuningField& field, const JsonValue& value) {
  const bool is_number =
      value.kind == JsonKind::Integer || (value.kind == JsonKind::Number && !field.is_integer);
  return is_number && value.number >= field.minimum && value.number <= field.maximum;
}

std::string rangeMessage(const TuningField& field) {
  std::ostringstream message;
  message << "must be " << (field.is_integer ? "an integer" : "a number") << " from "
          << field.minimum << " to " << field.maximum;
  return message.str();
}

}  // namespace

void parseTuning(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  for (const TuningField& field : TuningFields) {
    if (entry.name != field.name) {
      continue;
    }
    if (isWithin(field, entry.value)) {
      field.store(parsed.tuning, entry.value.number);
    } else {
      faults.push_back({entry.path, ResultCode::InvalidValue, rangeMessage(field)});
    }
    return;
  }
  faults.push_back({entry.path, ResultCode::UnknownPath, "there is no such tuning value"});
}

}  // namespace switchsaddle::configuration
