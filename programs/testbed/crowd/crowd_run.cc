#include "crowd/crowd_run.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <utility>

#include "switchsaddle/testbed/fleet/process_ends.h"
#include "switchsaddle/testbed/soak/interruption.h"
#include "switchsaddle/testbed/soak/message_reader.h"

namespace switchsaddle::testbed_commands {

namespace {

using testbed::CrowdListener;

constexpr std::size_t BytesPerMebibyte = 1U << 20U;
constexpr base::Duration SampleInterval = std::chrono::milliseconds(20);
/** Time after which a crowd that still sends counts as sent: one may be held up by the server. */
constexpr base::Duration CrowdLimit = std::chrono::seconds(25);
/** For so long daemons are frozen at most: the clients cannot send all they have. */
constexpr base::Duration FrozenTime = std::chrono::seconds(3);
/** Attempts at one request, as a client makes that is told to come back or finds no place. */
constexpr int Attempts = 60;
constexpr base::Duration AttemptPause = std::chrono::milliseconds(500);
constexpr base::Duration ConnectLimit = std::chrono::seconds(1);
constexpr base::Duration AnswerLimit = std::chrono::seconds(5);
constexpr int StatusOk = 200;

std::string limitsJson(const CrowdRunOptions& options) {
  return "{\"memory_mb\":" + std::to_string(options.memory_mb) +
         ",\"descriptors\":" + std::to_string(options.descriptors) + "}";
}

SoakFleetOptions fleetOptions(const CrowdRunOptions& options) {
  SoakFleetOptions fleet = options.fleet;
  fleet.limits_json = limitsJson(options);
  fleet.faulty_workers = false;
  return fleet;
}

/** @return the status of the answer, or 0 if there was none. */
int statusOfAnswer(const base::NodeAddress& address, const std::string& request) {
  testbed::BlockingSocket socket;
  if (socket.connect(address, ConnectLimit) != testbed::ConnectOutcome::Connected) {
    return 0;
  }
  // A refusal may come before the whole request is read.
  socket.write(request);
  testbed::MessageReader reader(socket);
  testbed::WireMessage answer;
  const auto deadline = testbed::BlockingSocket::Clock::now() + AnswerLimit;
  const bool complete = reader.read(answer, deadline) == testbed::MessageOutcome::Complete;
  return complete ? answer.status() : 0;
}

std::string readConfiguration(const std::string& operator_key) {
  return "GET /v1/configuration HTTP/1.1\r\nHost: own\r\nAuthorization: Bearer " + operator_key +
         "\r\n\r\n";
}

}  // namespace

CrowdRun::CrowdRun(CrowdRunOptions options)
    : options_(std::move(options)), ledger_(false), fleet_(fleetOptions(options_), ledger_) {
  for (const testbed::ProcessRole role :
       {testbed::ProcessRole::Core, testbed::ProcessRole::Front}) {
    for (const std::string& name : fleet_.namesOf(role)) {
      daemons_.push_back(name);
    }
  }
}

testbed::CrowdRequests CrowdRun::requests() const {
  testbed::CrowdRequests requests;
  requests.forwarded_host = SoakHost;
  requests.forwarded_target = "/once/";
  requests.stream_target = "/stream/";
  requests.tenant_key = SoakTenantKey;
  return requests;
}

base::NodeAddress CrowdRun::addressOf(CrowdListener listener) {
  switch (listener) {
    case CrowdListener::FrontHttp:
      return fleet_.process("front-1").http_address;
    case CrowdListener::FrontReadiness:
      return testbed::readinessAddress(fleet_.process("front-1"));
    case CrowdListener::FrontPeer:
      return fleet_.process("front-1").peer_address;
    case CrowdListener::CoreHttp:
      return fleet_.process("core-1").http_address;
    case CrowdListener::CorePeer:
      break;
  }
  return fleet_.process("core-1").peer_address;
}

CrowdReport CrowdRun::run(const std::vector<testbed::CrowdKind>& kinds) {
  CrowdReport report;
  sendCrowds(kinds, report);
  const testbed::CrowdRequests made = requests();
  const std::string largest =
      testbed::forwardedRequest(made, "largest", std::string(made.body_limit_bytes, 'l'));
  if (!isAnswered(addressOf(CrowdListener::FrontHttp), largest)) {
    report.violations.emplace_back("the largest request was not answered after the crowd had left");
  }
  checkAnswers("after the crowd had left", report);
  sample(report);
  checkBounds(report);
  return report;
}

void CrowdRun::sendCrowds(const std::vector<testbed::CrowdKind>& kinds, CrowdReport& report) {
  if (options_.frozen) {
    signalDaemons(SIGSTOP);
  }
  std::vector<std::unique_ptr<testbed::Crowd>> crowds;
  for (const testbed::CrowdKind& kind : kinds) {
    crowds.push_back(
        std::make_unique<testbed::Crowd>(addressOf(kind.listener), kind.script, options_.size));
  }
  testbed::Interruption pause;
  const auto limit =
      testbed::BlockingSocket::Clock::now() + (options_.frozen ? FrozenTime : CrowdLimit);
  while (!std::ranges::all_of(crowds, &testbed::Crowd::settled) &&
         testbed::BlockingSocket::Clock::now() < limit) {
    sample(report);
    pause.wait(SampleInterval);
  }
  if (options_.frozen) {
    signalDaemons(SIGCONT);
  }
  checkAnswers("while the crowd stayed", report);
  sample(report);
  for (const auto& crowd : crowds) {
    report.bytes_sent += crowd->bytesSent();
    report.closed_connections += crowd->closedConnections();
  }
}

void CrowdRun::signalDaemons(int signal_number) {
  for (const std::string& name : daemons_) {
    fleet_.signal(name, signal_number);
  }
}

void CrowdRun::sample(CrowdReport& report) {
  for (std::string& end : testbed::processEnds().takeUnexpected()) {
    report.violations.push_back(std::move(end));
  }
  for (const std::string& name : daemons_) {
    const auto usage = testbed::usageOf(Fleet::identityOf(fleet_.process(name)));
    testbed::ProcessUsage& largest = report.usage[name];
    if (!usage) {
      const std::string text = name + " has ended";
      if (std::ranges::find(report.violations, text) == report.violations.end()) {
        report.violations.push_back(text);
      }
      continue;
    }
    largest.peak_memory_bytes = std::max(largest.peak_memory_bytes, usage->peak_memory_bytes);
    largest.memory_bytes = usage->memory_bytes;
    largest.descriptors = std::max(largest.descriptors, usage->descriptors);
    largest.unread_bytes = std::max(largest.unread_bytes, usage->unread_bytes);
    largest.unsent_bytes = std::max(largest.unsent_bytes, usage->unsent_bytes);
  }
}

void CrowdRun::checkBounds(CrowdReport& report) const {
  for (const auto& [name, usage] : report.usage) {
    // Bytes that have arrived use memory of the machine, too.
    const std::size_t held = usage.peak_memory_bytes + usage.unread_bytes;
    if (held > options_.memory_mb * BytesPerMebibyte) {
      report.violations.push_back(name + " held " + std::to_string(held / BytesPerMebibyte) +
                                  " MiB of " + std::to_string(options_.memory_mb));
    }
    if (usage.descriptors > options_.descriptors) {
      report.violations.push_back(name + " held " + std::to_string(usage.descriptors) +
                                  " descriptors of " + std::to_string(options_.descriptors));
    }
  }
}

void CrowdRun::checkAnswers(const std::string& when, CrowdReport& report) {
  const std::string ordinary = testbed::forwardedRequest(requests(), "ordinary", "work");
  if (!isAnswered(addressOf(CrowdListener::FrontHttp), ordinary)) {
    report.violations.push_back("no ordinary request was answered " + when);
  }
  if (!isAnswered(addressOf(CrowdListener::CoreHttp), readConfiguration(SoakOperatorKey))) {
    report.violations.push_back("no operator could read the configuration " + when);
  }
}

bool CrowdRun::isAnswered(const base::NodeAddress& address, const std::string& request) const {
  testbed::Interruption pause;
  for (int attempt = 0; attempt < Attempts; ++attempt) {
    if (statusOfAnswer(address, request) == StatusOk) {
      return true;
    }
    pause.wait(AttemptPause);
  }
  return false;
}

}  // namespace switchsaddle::testbed_commands
