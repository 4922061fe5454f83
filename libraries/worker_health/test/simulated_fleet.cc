#include "simulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::worker_health {

namespace {

constexpr const char* Pool = "pool";
constexpr double EventSeconds = 0.04;
constexpr double Noise = 0.15;
/** Share of the streams with a long prompt, and its prefill time. */
constexpr double LongPromptShare = 0.02;
constexpr base::Duration LongPrefill = std::chrono::milliseconds(400);
constexpr base::Duration ShortPrefill = std::chrono::milliseconds(10);
/** Share of all streams sent by the tenant with long prompts. */
constexpr double LongPromptTenantShare = 0.06;
/** Share of its streams that the unhealthy front itself stalls. */
constexpr double UnhealthyFrontShare = 0.4;
constexpr auto ReportInterval = std::chrono::milliseconds(500);

base::Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

SimulatedFleet::SimulatedFleet(FleetPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      random_(seed),
      world_(seed),
      process_(world_),
      ledger_(process_),
      ranking_(process_, ledger_),
      prefills_(plan_.workers),
      measurements_(plan_.workers) {
  for (std::size_t front = 0; front < plan_.fronts; ++front) {
    fronts_.push_back(std::make_unique<EvidenceRecorder>(process_));
  }
  auto snapshot = std::make_shared<workers::WorkerSnapshot>();
  for (std::size_t worker = 0; worker < plan_.workers; ++worker) {
    workers::Worker& listed = snapshot->workers[nameOf(worker)];
    listed.entry.id = nameOf(worker);
    listed.entry.service = Pool;
    listed.entry.zone = worker % 2 == 0 ? "north" : "south";
    keys_.push_back(workerKey(listed.entry));
  }
  ranking_.setWorkers(snapshot);
}

std::string SimulatedFleet::nameOf(std::size_t worker) {
  return "worker-" + std::to_string(worker);
}

const WorkerRank& SimulatedFleet::rankOf(std::size_t worker) const {
  return *std::ranges::find(ranking_.ranks(), nameOf(worker), &WorkerRank::worker);
}

bool SimulatedFleet::isActive(const InjectedSymptom& symptom) const {
  const auto now_s = static_cast<std::uint64_t>(
      std::chrono::duration<double>(process_.now().time_since_epoch()).count());
  return !symptom.intermittent || (now_s / 10) % 2 == 0;
}

base::Duration SimulatedFleet::longestConcurrentPrefill(std::size_t worker,
                                                        base::Duration stream_time) const {
  // Approximates the prefills during the stream by those just before it.
  const base::TimePoint now = process_.now();
  base::Duration longest{};
  for (const Prefill& prefill : prefills_[worker]) {
    if (now - prefill.start < stream_time) {
      longest = std::max(longest, prefill.length);
    }
  }
  return longest;
}

void SimulatedFleet::start() {
  const bool is_from_tenant = plan_.long_prompt_worker && random_.chance(LongPromptTenantShare);
  const std::size_t worker =
      is_from_tenant ? *plan_.long_prompt_worker : random_.below(plan_.workers);
  const std::size_t front = random_.below(plan_.fronts);
  const bool long_prompt = is_from_tenant || random_.chance(LongPromptShare);
  const base::Duration prefill = long_prompt ? LongPrefill : ShortPrefill;
  const DispatchSample sample = drawSample(worker, front);
  if (long_prompt) {
    prefills_[worker].push_back({process_.now(), prefill});
  }
  measurements_[worker].events_per_s.push_back(sample.events / secondsOf(sample.transfer));
  measurements_[worker].longest_pauses_s.push_back(secondsOf(sample.longest_pause));
  Stream stream;
  stream.front = front;
  stream.number = fronts_[front]->onDispatch({keys_[worker], poolKey(Pool), 1, prefill});
  stream.sample = sample;
  stream.end = process_.now() + prefill + sample.transfer;
  fronts_[front]->onHead(stream.number);
  in_flight_.push(stream);
}

InjectedSymptom SimulatedFleet::activeSymptom(std::size_t worker) const {
  const auto injected = plan_.unhealthy.find(worker);
  const bool is_active = injected != plan_.unhealthy.end() && isActive(injected->second);
  return is_active ? injected->second : InjectedSymptom{};
}

DispatchSample SimulatedFleet::drawSample(std::size_t worker, std::size_t front) {
  const InjectedSymptom symptom = activeSymptom(worker);
  DispatchSample sample;
  sample.events = 20 + static_cast<std::uint32_t>(random_.below(20));
  const double noise = std::exp(Noise * (random_.uniform() + random_.uniform() - 1) * 2);
  const double event_s = EventSeconds * noise * symptom.slowness;
  sample.longest_pause = fromSeconds(event_s * (1.2 + random_.uniform() * 0.5));
  sample.transfer = fromSeconds(event_s * (sample.events - 1));
  const auto pause = [&sample](base::Duration length) {
    sample.longest_pause = std::max(sample.longest_pause, length);
    sample.transfer += length;
  };
  pause(longestConcurrentPrefill(worker, sample.transfer));
  if (random_.chance(symptom.stalls)) {
    pause(fromSeconds(0.6 + random_.uniform() * 2));
  }
  if (plan_.unhealthy_front == front && random_.chance(UnhealthyFrontShare)) {
    pause(fromSeconds(0.6 + random_.uniform()));
  }
  sample.end = random_.chance(symptom.failures) ? DispatchEnd::Failed : DispatchEnd::Answered;
  return sample;
}

void SimulatedFleet::finishUntil(base::TimePoint time) {
  while (!in_flight_.empty() && in_flight_.top().end <= time) {
    const Stream& stream = in_flight_.top();
    if (stream.end > process_.now()) {
      world_.runFor(stream.end - process_.now());
    }
    fronts_[stream.front]->onEnd(stream.number, stream.sample);
    in_flight_.pop();
  }
  world_.runFor(time - process_.now());
}

void SimulatedFleet::reportToCores() {
  for (std::size_t front = 0; front < fronts_.size(); ++front) {
    const FrontKey key{{"10.0.0.1", static_cast<std::uint16_t>(front + 1)}, 1};
    ledger_.update(key, front % 2 == 0 ? "north" : "south", fronts_[front]->statement());
    fronts_[front]->setWatched(ranking_.questioned());
  }
  ranking_.refresh();
  const base::TimePoint now = process_.now();
  for (std::vector<Prefill>& prefills : prefills_) {
    std::erase_if(prefills, [now](const Prefill& prefill) {
      return now - prefill.start > std::chrono::seconds(10);
    });
  }
}

void SimulatedFleet::run() {
  const base::TimePoint end = process_.now() + plan_.time;
  base::TimePoint report_at = process_.now() + ReportInterval;
  while (process_.now() < end) {
    const double gap_s = -std::log(1 - random_.uniform()) / plan_.requests_per_s;
    const base::TimePoint next = process_.now() + fromSeconds(gap_s);
    while (report_at <= next) {
      finishUntil(report_at);
      reportToCores();
      report_at += ReportInterval;
    }
    finishUntil(next);
    start();
  }
}

}  // namespace switchsaddle::worker_health
