#include "switchsaddle/scenarios/fleet.h"

#include <algorithm>

#include "switchsaddle/configuration/view.h"

namespace switchsaddle::scenarios {

namespace {

constexpr std::uint16_t CorePort = 7000;
constexpr std::uint16_t FrontPort = 7400;
constexpr std::uint16_t OperatorPort = 7200;
constexpr std::size_t SeedCount = 3;

base::NodeAddress addressOf(std::uint16_t first_port, std::size_t index) {
  return {"127.0.0.1", static_cast<std::uint16_t>(first_port + index)};
}

}  // namespace

std::string firstChange() {
  return R"({"change_id":"first","base_version":0,"set":{
    "shapes/chat": {"services": ["completions"], "first_token_ms": 9000},
    "tenants/editors": {"shape": "chat", "stream_branch": "root", "one_shot_branch": "root"},
    "share/root": {"slots": 1000},
    "routes/large": {"service": "completions", "models": ["large"], "pool": "models"},
    ")" + std::string(CallerKey) +
         R"(": {"sha256": ")" + configuration::sha256Hex(secretOfKey(CallerKey)) +
         R"(", "tenant": "editors"}}})";
}

Fleet::Fleet(std::uint64_t seed, FleetSize size, core::CoreFaults core_faults,
             sessions::SessionClientFaults front_faults)
    : world(seed), size_(size), core_faults_(core_faults) {
  platform.reading.code = base::ResultCode::Ok;
  for (std::size_t index = 0; index < size.cores; ++index) {
    initial_cores_.push_back(addressOf(CorePort, index));
  }
  seeds_.assign(
      initial_cores_.begin(),
      initial_cores_.begin() + static_cast<std::ptrdiff_t>(std::min(SeedCount, size.cores)));
  for (const base::NodeAddress& address : initial_cores_) {
    configuration::Settings settings = settingsOf(address);
    settings.initial_cores = initial_cores_;
    cores.push_back(
        std::make_unique<SimulatedCore>(world, network, platform, settings, core_faults_));
    cores.back()->start();
  }
  for (std::size_t index = 0; index < size.fronts; ++index) {
    fronts.push_back(std::make_unique<WatchedFront>(
        world, network, settingsOf(addressOf(FrontPort, index)), front_faults));
    fronts.back()->start();
  }
  for (std::size_t index = 0; index < size.operators; ++index) {
    operators.push_back(
        std::make_unique<FakeOperator>(world, network, addressOf(OperatorPort, index),
                                       "operator" + std::to_string(index), initial_cores_));
  }
}

configuration::Settings Fleet::settingsOf(const base::NodeAddress& address) const {
  configuration::Settings settings;
  settings.peer_address = address;
  settings.zone = FirstZone;
  settings.times.core_refused_grace = size_.core_refused_grace;
  settings.tolerated_core_losses = size_.tolerated_core_losses;
  settings.tolerated_zone_losses = size_.tolerated_zone_losses;
  settings.times.acknowledgement_deadline = size_.acknowledgement_deadline;
  settings.list_before_lease = size_.list_before_lease;
  settings.seeds = seeds_;
  settings.operator_hashes = {configuration::sha256Hex(SimulatedOperatorKey)};
  return settings;
}

SimulatedCore& Fleet::addCore(const std::string& zone) {
  configuration::Settings settings = settingsOf(addressOf(CorePort, cores.size()));
  settings.zone = zone;
  cores.push_back(
      std::make_unique<SimulatedCore>(world, network, platform, settings, core_faults_));
  cores.back()->start();
  return *cores.back();
}

void Fleet::addModelWorker() {
  wire::WorkerEntry worker;
  worker.id = "model-worker";
  worker.address = {"127.0.0.1", 9'000};
  worker.models = {"large"};
  worker.service = "models";
  worker.slots = 1'000;
  platform.reading.workers.push_back(worker);
}

bool Fleet::commitChange(const std::string& body, base::Duration limit) {
  const base::TimePoint end = world.now() + limit;
  bool acknowledged = false;
  for (std::size_t turn = 0; !acknowledged && world.now() < end; ++turn) {
    bool answered = false;
    operators.front()->request(cores[turn % cores.size()]->address(), "POST",
                               "/v1/configuration/changes", body,
                               [&](const std::optional<wire::ControlReply>& reply) {
                                 answered = true;
                                 acknowledged = reply && reply->status == 200;
                               });
    // Longer than the timeout of a request, so that the callback has run.
    world.runUntil([&answered] { return answered; }, std::chrono::seconds(6));
  }
  return acknowledged;
}

bool Fleet::allServe(std::uint64_t version) const {
  return std::all_of(fronts.begin(), fronts.end(), [&](const auto& front) {
    const std::optional<std::uint64_t> dispatched = front->dispatchVersion();
    return dispatched && *dispatched >= version;
  });
}

bool Fleet::runUntilAllServe(std::uint64_t version, base::Duration limit) {
  return world.runUntil([&] { return allServe(version); }, limit);
}

bool Fleet::admitted(SimulatedCore& core) const {
  if (!core.running()) {
    return false;
  }
  const std::uint64_t instance = core.node().acceptor().instance();
  const auto agreeing = std::count_if(cores.begin(), cores.end(), [&](const auto& other) {
    if (!other->running()) {
      return false;
    }
    const wire::AcceptorSet& set = other->node().acceptor().acceptorSet();
    return set.previous.empty() &&
           std::any_of(set.members.begin(), set.members.end(),
                       [&](const auto& member) { return member.instance == instance; });
  });
  return static_cast<std::size_t>(agreeing) * 2 > cores.size();
}

SimulatedCore* Fleet::holderOf(const std::string& lease) {
  for (const auto& core : cores) {
    if (!core->running()) {
      continue;
    }
    for (const core::LeaseStatus& status : core->node().status().leases) {
      if (status.name == lease && status.held) {
        return core.get();
      }
    }
  }
  return nullptr;
}

}  // namespace switchsaddle::scenarios
