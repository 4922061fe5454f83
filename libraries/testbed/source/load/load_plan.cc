#include "switchsaddle/testbed/load/load_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

/** Maximum requested output length, as a multiple of the mean. */
constexpr double LongestOutputFactor = 6.0;

double rateField(const boost::json::object& object, std::string_view name) {
  const double rate = numberField(object, name);
  if (rate < 0) {
    throw base::Error(base::ResultCode::InvalidValue,
                      "expected a rate of at least 0 requests per second", std::string(name));
  }
  return rate;
}

std::uint32_t positiveField(const boost::json::object& object, std::string_view name,
                            std::uint32_t fallback) {
  const std::int64_t number = integerField(object, name, fallback);
  if (number <= 0 || number > INT32_MAX) {
    throw base::Error(base::ResultCode::InvalidValue, "expected a positive 32-bit integer",
                      std::string(name));
  }
  return static_cast<std::uint32_t>(number);
}

LoadTenant parseTenant(const boost::json::object& object) {
  LoadTenant tenant;
  tenant.name = textField(object, "name");
  tenant.key = textField(object, "key");
  tenant.streams_per_s = rateField(object, "streams_per_s");
  tenant.one_shots_per_s = rateField(object, "one_shots_per_s");
  tenant.one_shot_service = textField(object, "one_shot_service");
  tenant.models = textListField(object, "models");
  if (tenant.streams_per_s > 0 && tenant.models.empty()) {
    throw base::Error(base::ResultCode::MissingField, "is required if streams_per_s is above 0",
                      "models");
  }
  return tenant;
}

}  // namespace

double LoadPlan::requestsPerSecond() const {
  double rate = 0;
  for (const LoadTenant& tenant : tenants) {
    rate += tenant.streams_per_s + tenant.one_shots_per_s;
  }
  return rate;
}

double LoadPlan::burstFactor(const std::string& tenant, double at_s) const {
  double factor = 1;
  for (const LoadBurst& burst : bursts) {
    const bool applies = burst.tenant.empty() || burst.tenant == tenant;
    factor *= applies && at_s >= burst.from_s && at_s < burst.to_s ? burst.factor : 1;
  }
  return factor;
}

double LoadPlan::nextBurstChange(double at_s) const {
  double next = std::numeric_limits<double>::infinity();
  for (const LoadBurst& burst : bursts) {
    for (const double change : {burst.from_s, burst.to_s}) {
      next = change > at_s ? std::min(next, change) : next;
    }
  }
  return next;
}

LoadBurst parseLoadBurst(const std::string& text) {
  std::istringstream stream(text);
  LoadBurst burst;
  char first = 0;
  char second = 0;
  std::getline(stream, burst.tenant, ':');
  stream >> burst.factor >> first >> burst.from_s >> second >> burst.to_s;
  const bool whole = stream && stream.peek() == std::istringstream::traits_type::eof();
  const bool valid = whole && first == ':' && second == ':' && burst.factor > 0 &&
                     burst.from_s >= 0 && burst.to_s > burst.from_s;
  if (!valid) {
    throw base::Error(
        base::ResultCode::InvalidValue,
        "expected TENANT:FACTOR:FROM:TO with FACTOR > 0 and 0 <= FROM < TO, got " + text);
  }
  burst.tenant = burst.tenant == "all" ? "" : burst.tenant;
  return burst;
}

LoadPlan parseLoadPlan(const std::string& text) {
  const boost::json::object object = parseObject(text);
  LoadPlan plan;
  for (const boost::json::object& tenant : objectListField(object, "tenants")) {
    plan.tenants.push_back(parseTenant(tenant));
  }
  const boost::json::object prefixes = objectField(object, "prefixes");
  plan.prefix_families = positiveField(prefixes, "families", plan.prefix_families);
  plan.prefix_zipf = numberField(prefixes, "zipf", plan.prefix_zipf);
  plan.prefix_segments = positiveField(prefixes, "parts", plan.prefix_segments);
  plan.segment_tokens = positiveField(prefixes, "part_tokens", plan.segment_tokens);
  plan.prompt_tokens = positiveField(object, "prompt_tokens", plan.prompt_tokens);
  plan.output_tokens = positiveField(object, "output_tokens", plan.output_tokens);
  plan.resend_share = numberField(object, "resend_share", plan.resend_share);
  plan.resend_refused_share =
      numberField(object, "resend_refused_share", plan.resend_refused_share);
  plan.resend_delay = std::chrono::milliseconds(integerField(object, "resend_delay_ms", 200));
  if (plan.requestsPerSecond() <= 0) {
    throw base::Error(base::ResultCode::InvalidValue,
                      "expected at least one tenant with a rate above 0", "tenants");
  }
  return plan;
}

ArrivalGenerator::ArrivalGenerator(LoadPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)), seed_(seed), random_(seed) {
  setRates();
  double popularity = 0;
  for (std::uint32_t family = 0; family < plan_.prefix_families; ++family) {
    popularity += 1.0 / std::pow(family + 1.0, plan_.prefix_zipf);
    cumulative_popularity_.push_back(popularity);
  }
}

void ArrivalGenerator::setRates() {
  flows_.clear();
  double rate = 0;
  for (std::size_t index = 0; index < plan_.tenants.size(); ++index) {
    const LoadTenant& tenant = plan_.tenants[index];
    const double factor = plan_.burstFactor(tenant.name, elapsed_s_);
    rate += factor * tenant.streams_per_s;
    flows_.push_back(Flow{index, CallKind::Stream, rate});
    rate += factor * tenant.one_shots_per_s;
    flows_.push_back(Flow{index, CallKind::OneShot, rate});
  }
  rates_until_s_ = plan_.nextBurstChange(elapsed_s_);
}

double ArrivalGenerator::exponential(double mean) {
  return -mean * std::log(1.0 - random_.uniform());
}

const ArrivalGenerator::Flow& ArrivalGenerator::drawFlow() {
  const double drawn = random_.uniform() * flows_.back().cumulative_rate;
  const auto found =
      std::upper_bound(flows_.begin(), flows_.end(), drawn,
                       [](double value, const Flow& flow) { return value < flow.cumulative_rate; });
  return found == flows_.end() ? flows_.back() : *found;
}

std::uint32_t ArrivalGenerator::drawFamily() {
  const double drawn = random_.uniform() * cumulative_popularity_.back();
  const auto found =
      std::upper_bound(cumulative_popularity_.begin(), cumulative_popularity_.end(), drawn);
  const auto family = static_cast<std::uint32_t>(found - cumulative_popularity_.begin());
  return std::min(family, plan_.prefix_families - 1);
}

Arrival ArrivalGenerator::next() {
  double at_s = elapsed_s_ + exponential(1.0 / flows_.back().cumulative_rate);
  while (at_s >= rates_until_s_) {
    // Poisson arrivals are memoryless: draw a new waiting time with the new rates.
    elapsed_s_ = rates_until_s_;
    setRates();
    at_s = elapsed_s_ + exponential(1.0 / flows_.back().cumulative_rate);
  }
  elapsed_s_ = at_s;
  const Flow& flow = drawFlow();
  Arrival arrival;
  arrival.at =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(elapsed_s_));
  arrival.kind = flow.kind;
  arrival.tenant = flow.tenant;
  ++arrivals_;
  if (flow.kind == CallKind::Stream) {
    fillStream(arrival);
  } else {
    fillOneShot(arrival);
  }
  return arrival;
}

void ArrivalGenerator::fillStream(Arrival& arrival) {
  const LoadTenant& tenant = plan_.tenants[arrival.tenant];
  arrival.model = tenant.models[random_.below(tenant.models.size())];
  const std::uint32_t family = drawFamily();
  // The first segment belongs to the tenant, the others to the family.
  arrival.segments.push_back(PrefixSegment{tenant.name, plan_.segment_tokens});
  for (std::uint32_t segment = 1; segment < plan_.prefix_segments; ++segment) {
    arrival.segments.push_back(
        PrefixSegment{tenant.name + "/f" + std::to_string(family) + "/" + std::to_string(segment),
                      plan_.segment_tokens});
  }
  arrival.prompt_tokens = static_cast<std::uint32_t>(1 + exponential(plan_.prompt_tokens));
  const double output =
      std::min(exponential(plan_.output_tokens), LongestOutputFactor * plan_.output_tokens);
  arrival.max_tokens = static_cast<std::uint32_t>(1 + output);
}

void ArrivalGenerator::fillOneShot(Arrival& arrival) {
  arrival.service = plan_.tenants[arrival.tenant].one_shot_service;
  arrival.idempotency_key = "k" + std::to_string(seed_) + "-" + std::to_string(arrivals_);
  arrival.resent_early = random_.chance(plan_.resend_share);
}

}  // namespace switchsaddle::testbed
