#include "switchsaddle/scenarios/limits_scenario.h"

#include <charconv>
#include <stdexcept>
#include <utility>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/scenarios/fake_operator.h"

namespace switchsaddle::scenarios {

namespace {

constexpr std::size_t Cores = 5;
constexpr std::size_t Fronts = 3;
constexpr std::uint16_t FrontPort = 7300;
constexpr std::uint16_t WorkerPort = 7400;
constexpr int ModelWorkers = 4;
constexpr int OrdinaryWorkers = 2;
constexpr std::uint32_t WorkerSlots = 64;
constexpr base::Duration Step = std::chrono::milliseconds(10);
/** Requests per second at the usual rate, and the factor for the tenant with the load burst. */
constexpr double UsualStreams = 10;
constexpr double UsualOneShots = 5;
constexpr double BurstFactor = 10;
/** Fronts deliver answers without delay here, but an end and a start may share a millisecond. */
constexpr std::int64_t OccupancyMs = 25;
/** Time after the last request was sent within which requests may be answered. */
constexpr base::Duration AnswerPeriod = std::chrono::seconds(15);

std::string limitsDocument(double retry_share) {
  return R"({
    "shapes/chat": {"services": ["completions", "orders"], "first_token_ms": 60000},
    "tenants/calm": {"shape": "chat", "stream_branch": "root/calm/streams",
                     "one_shot_branch": "root/calm/orders"},
    "tenants/loud": {"shape": "chat", "stream_branch": "root/loud/streams",
                     "one_shot_branch": "root/loud/orders"},
    "share/root": {"slots": 24},
    "share/root/calm": {"parts": 1},
    "share/root/calm/streams": {"parts": 2},
    "share/root/calm/orders": {"parts": 1},
    "share/root/loud": {"parts": 1},
    "share/root/loud/streams": {"parts": 2},
    "share/root/loud/orders": {"parts": 1},
    "routes/large": {"service": "completions", "models": ["large"], "pool": "models"},
    "routes/orders": {"service": "orders", "pool": "ordinary"},
    "tuning/retry-share": )" +
         std::to_string(retry_share) + R"(,
    "keys/calm": {"sha256": ")" +
         configuration::sha256Hex("calm") + R"(", "tenant": "calm"},
    "keys/loud": {"sha256": ")" +
         configuration::sha256Hex("loud") + R"(", "tenant": "loud"}})";
}

testbed::BranchLimits limitsOf(double retry_share) {
  std::vector<configuration::Fault> faults;
  const configuration::Document document =
      configuration::parseConfigurationFile(limitsDocument(retry_share), faults);
  if (!faults.empty()) {
    throw std::runtime_error(faults.front().path + ": " + faults.front().message);
  }
  return testbed::BranchLimits::fromView(configuration::buildView(document));
}

/** The number after "code": in an error's body, or 0 if there is none. */
int codeIn(const std::string& body) {
  constexpr std::string_view Name = "\"code\":";
  const std::size_t found = body.find(Name);
  int code = 0;
  if (found != std::string::npos) {
    const char* digits = body.data() + found + Name.size();
    std::from_chars(digits, body.data() + body.size(), code);
  }
  return code;
}

}  // namespace

/** Records the answer to one request. */
class LimitsScenario::Writer : public http::ResponseWriter {
 public:
  Writer(LimitsScenario& scenario, testbed::CallEvent sent)
      : scenario_(scenario), event_(std::move(sent)) {
    event_.event = "answer";
  }

  void respond(http::Response response) override {
    event_.status = response.status;
    event_.code = codeIn(response.body);
    event_.end = event_.code == 0 ? testbed::call_end::Done : testbed::call_end::Refused;
    event_.outcome = event_.code == 0 ? "ran" : "";
    scenario_.record(event_);
  }
  void startStream(http::Response response) override { event_.status = response.status; }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    const int code = codeIn(chunk);
    event_.code = code == 0 ? event_.code : code;
    testbed::CallEvent chunk_event = event_;
    chunk_event.event = "piece";
    chunk_event.index = next_index_++;
    scenario_.record(chunk_event);
    written(true);
  }
  void endStream() override {
    event_.end = event_.code == 0 ? testbed::call_end::Done : testbed::call_end::Error;
    scenario_.record(event_);
  }
  void abort() override {}
  void onClientDisconnected(std::function<void()> /*callback*/) override {}

 private:
  LimitsScenario& scenario_;
  testbed::CallEvent event_;
  std::int64_t next_index_ = 0;
};

LimitsScenario::LimitsScenario(const LimitsScenarioOptions& options)
    : options_(options),
      fleet_(options.seed, FleetSize{Cores, 0, 0}),
      workers_(fleet_.world, *this) {}

LimitsScenario::~LimitsScenario() {
  over_ = true;
  fronts_.clear();
}

void LimitsScenario::listWorkers() {
  workers::PlatformReading& reading = fleet_.platform.reading;
  reading.generation = 1;
  for (int number = 0; number < ModelWorkers + OrdinaryWorkers; ++number) {
    wire::WorkerEntry worker;
    worker.id = "worker-" + std::to_string(number);
    worker.address = {"127.0.0.1", static_cast<std::uint16_t>(WorkerPort + number)};
    worker.service = number < ModelWorkers ? "models" : "ordinary";
    worker.models = {"large"};
    worker.slots = WorkerSlots;
    worker.zone = "zone";
    reading.workers.push_back(worker);
  }
}

void LimitsScenario::startFronts() {
  for (std::size_t index = 0; index < Fronts; ++index) {
    configuration::Settings settings;
    settings.zone = "zone";
    settings.operator_hashes = {configuration::sha256Hex(SimulatedOperatorKey)};
    settings.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(FrontPort + index)};
    for (const auto& core : fleet_.cores) {
      settings.seeds.push_back(core->address());
    }
    settings.seeds.resize(3);
    fronts_.push_back(
        std::make_unique<SimulatedFront>(fleet_.world, fleet_.network, workers_, settings));
    fronts_.back()->start();
  }
}

bool LimitsScenario::allReady() {
  for (const auto& front : fronts_) {
    const bool ready =
        front->node().ready() &&
        front->node().directory().snapshot()->workers.size() == ModelWorkers + OrdinaryWorkers;
    if (!ready) {
      return false;
    }
  }
  return true;
}

void LimitsScenario::configure() {
  const std::string body = R"({"change_id":"c1","base_version":0,"document":)" +
                           limitsDocument(options_.retry_share) + "}";
  const auto in_force = [this] {
    for (const auto& front : fronts_) {
      if (front->node().replica().version() == 0 || !front->node().ready()) {
        return false;
      }
    }
    return true;
  };
  testbed::CallEvent unrecorded;
  unrecorded.kind = "change";
  for (int attempt = 0; attempt < 10 && !in_force(); ++attempt) {
    fronts_[0]->node().service().enqueue(
        {"POST",
         "/v1/configuration/changes",
         {{"Authorization", std::string("Bearer ") + SimulatedOperatorKey}},
         body},
        std::make_shared<Writer>(*this, unrecorded));
    fleet_.world.runUntil(in_force, std::chrono::seconds(3));
  }
  if (!in_force()) {
    throw std::runtime_error(
        "the configuration did not come into force at every front after 10 attempts");
  }
  fleet_.world.runFor(std::chrono::seconds(1));
}

void LimitsScenario::record(testbed::CallEvent event) {
  if (over_ || event.kind == "change") {
    return;
  }
  event.at_ms = base::toMilliseconds(fleet_.world.now().time_since_epoch());
  if (event.event == "answer") {
    ++result_.answers[event.code];
  }
  result_.evidence.calls.push_back(std::move(event));
}

void LimitsScenario::recordWorkerEvent(const std::string& event,
                                       const front::WorkerRequest& request) {
  if (over_) {
    return;
  }
  testbed::WorkerEvent line;
  line.at_ms = base::toMilliseconds(fleet_.world.now().time_since_epoch());
  line.event = event;
  line.kind = request.idempotency_key.empty() ? "stream" : "one-shot";
  line.run = request.request_id;
  line.tenant = request.tenant;
  line.caller_request_id = request.caller_request_id;
  journal_.events.push_back(std::move(line));
}

void LimitsScenario::onAttempt(const front::WorkerRequest& request) {
  ++result_.attempts[request.address];
  recordWorkerEvent("refused", request);
}

void LimitsScenario::onStart(const front::WorkerRequest& request) {
  // onAttempt() has just recorded the attempt as refused; replaces that record.
  if (!over_) {
    journal_.events.pop_back();
  }
  recordWorkerEvent("start", request);
}

void LimitsScenario::onEnd(const front::WorkerRequest& request) {
  recordWorkerEvent("end", request);
}

void LimitsScenario::sendOne(const std::string& tenant, bool stream) {
  SimulatedFront& front = *fronts_[fleet_.world.random().below(Fronts)];
  if (!front.running()) {
    return;
  }
  testbed::CallEvent sent;
  sent.event = "sent";
  sent.call = ++calls_;
  sent.kind = stream ? "stream" : "one-shot";
  sent.tenant = tenant;
  sent.request_id = "call-" + std::to_string(sent.call);
  record(sent);
  http::Request request{"POST",
                        stream ? "/v1/chat/completions" : "/v1/one-shots",
                        {{"Authorization", "Bearer " + tenant}, {"Request-Id", sent.request_id}},
                        R"({"service":"orders","payload":1})"};
  if (stream) {
    request.body = R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})";
  } else {
    request.headers.push_back({"Idempotency-Key", sent.request_id});
  }
  front.node().service().enqueue(std::move(request), std::make_shared<Writer>(*this, sent));
}

void LimitsScenario::sendArrivals() {
  const double step_s = std::chrono::duration<double>(Step).count();
  for (const auto& [tenant, factor] : {std::pair{"calm", 1.0}, std::pair{"loud", BurstFactor}}) {
    if (fleet_.world.random().chance(UsualStreams * factor * step_s)) {
      sendOne(tenant, true);
    }
    if (fleet_.world.random().chance(UsualOneShots * factor * step_s)) {
      sendOne(tenant, false);
    }
  }
}

LimitsScenarioResult LimitsScenario::run() {
  listWorkers();
  startFronts();
  if (!fleet_.world.runUntil([this] { return allReady(); }, std::chrono::seconds(30))) {
    throw std::runtime_error("not every front was ready and saw all workers within 30 s");
  }
  configure();
  workers_.conditions.refusal = options_.worker_refusal;
  if (options_.closed_worker) {
    workers_.conditions.closed = {fleet_.platform.reading.workers.front().address};
  }
  if (options_.faults) {
    scheduleFaults();
  }
  for (base::Duration at{}; at < options_.duration; at += Step) {
    sendArrivals();
    fleet_.world.runFor(Step);
  }
  restoreAll();
  fleet_.world.runFor(AnswerPeriod);
  over_ = true;
  result_.evidence.journals = {journal_};
  testbed::BranchTolerances tolerances;
  tolerances.excess_ms = 0;
  tolerances.occupancy_ms = OccupancyMs;
  result_.report = testbed::checkBranchLimits(result_.evidence, limitsOf(options_.retry_share),
                                              tolerances, testbed::BurstPeriod{});
  return std::move(result_);
}

}  // namespace switchsaddle::scenarios
