#include "simulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::worker_health {

namespace {

constexpr const char* Pool = "pool";
constexpr double EventS = 0.04;
constexpr double Noise = 0.15;
/** Part of the streams that come with a long prompt, and how long it is read. */
constexpr double LongPromptShare = 0.02;
constexpr auto LongReading = std::chrono::milliseconds(400);
/** Part of all streams that the decoy tenant sends. */
constexpr double DecoyShare = 0.06;
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
      readings_(plan_.workers),
      measures_(plan_.workers) {
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

bool SimulatedFleet::isUnhealthyNow(const InjectedSymptom& symptom) const {
  const auto now_s = static_cast<std::uint64_t>(
      std::chrono::duration<double>(process_.now().time_since_epoch()).count());
  return !symptom.intermittent || (now_s / 10) % 2 == 0;
}

base::Duration SimulatedFleet::longestReadingBeside(std::size_t worker,
                                                    base::Duration stream_time) const {
  // What was read a moment ago at this pace is what a stream will meet.
  const base::TimePoint now = process_.now();
  base::Duration longest{};
  for (const Reading& reading : readings_[worker]) {
    if (now - reading.start < stream_time) {
      longest = std::max(longest, reading.length);
    }
  }
  return longest;
}

void SimulatedFleet::start() {
  const bool is_decoy = plan_.decoy_worker && random_.chance(DecoyShare);
  const std::size_t worker = is_decoy ? *plan_.decoy_worker : random_.below(plan_.workers);
  const std::size_t front = random_.below(plan_.fronts);
  const bool long_prompt = is_decoy || random_.chance(LongPromptShare);
  const base::Duration reading =
      long_prompt ? base::Duration(LongReading) : base::Duration(std::chrono::milliseconds(10));
  const auto planted = plan_.unhealthy.find(worker);
  const InjectedSymptom symptom =
      planted != plan_.unhealthy.end() && isUnhealthyNow(planted->second) ? planted->second
                                                                          : InjectedSymptom{};
  DispatchSample sample;
  sample.events = 20 + static_cast<std::uint32_t>(random_.below(20));
  const double noise = std::exp(Noise * (random_.uniform() + random_.uniform() - 1) * 2);
  const double event_s = EventS * noise * symptom.slowness;
  sample.longest_pause = fromSeconds(event_s * (1.2 + random_.uniform() * 0.5));
  base::Duration transfer = fromSeconds(event_s * (sample.events - 1));
  const auto pause = [&](base::Duration length) {
    sample.longest_pause = std::max(sample.longest_pause, length);
    transfer += length;
  };
  pause(longestReadingBeside(worker, transfer));
  if (random_.chance(symptom.stalls)) {
    pause(fromSeconds(0.6 + random_.uniform() * 2));
  }
  if (plan_.unhealthy_front == front && random_.chance(UnhealthyFrontShare)) {
    pause(fromSeconds(0.6 + random_.uniform()));
  }
  sample.transfer = transfer;
  sample.end = random_.chance(symptom.failures) ? DispatchEnd::Failed : DispatchEnd::Answered;
  if (long_prompt) {
    readings_[worker].push_back({process_.now(), reading});
  }
  measures_[worker].events_per_s.push_back(sample.events / secondsOf(transfer));
  measures_[worker].longest_pauses_s.push_back(secondsOf(sample.longest_pause));
  Stream stream;
  stream.front = front;
  stream.number = fronts_[front]->onDispatch({keys_[worker], poolKey(Pool), 1, reading});
  stream.sample = sample;
  stream.end = process_.now() + reading + transfer;
  fronts_[front]->onHead(stream.number);
  under_way_.push(stream);
}

void SimulatedFleet::finishUntil(base::TimePoint time) {
  while (!under_way_.empty() && under_way_.top().end <= time) {
    const Stream& stream = under_way_.top();
    if (stream.end > process_.now()) {
      world_.runFor(stream.end - process_.now());
    }
    fronts_[stream.front]->onEnd(stream.number, stream.sample);
    under_way_.pop();
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
  for (std::vector<Reading>& readings : readings_) {
    std::erase_if(readings, [now](const Reading& reading) {
      return now - reading.start > std::chrono::seconds(10);
    });
  }
}

void SimulatedFleet::run() {
  const base::TimePoint end = process_.now() + plan_.time;
  base::TimePoint tell_at = process_.now() + ReportInterval;
  while (process_.now() < end) {
    const double gap_s = -std::log(1 - random_.uniform()) / plan_.requests_per_s;
    const base::TimePoint next = process_.now() + fromSeconds(gap_s);
    while (tell_at <= next) {
      finishUntil(tell_at);
      reportToCores();
      tell_at += ReportInterval;
    }
    finishUntil(next);
    start();
  }
}

}  // namespace switchsaddle::worker_health
