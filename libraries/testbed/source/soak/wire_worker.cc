#include "switchsaddle/testbed/soak/wire_worker.h"

#include <array>
#include <string_view>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/crowd/answer_script.h"
#include "switchsaddle/testbed/soak/wire_text.h"

namespace switchsaddle::testbed {
namespace {

using std::chrono::milliseconds;
using Clock = BlockingSocket::Clock;

constexpr int ListenAttempts = 100;
constexpr base::Duration ListenPause = std::chrono::milliseconds(20);
constexpr base::Duration AcceptInterval = milliseconds(100);
/** Slice of waiting for the next request, after which the end of the instance is looked at. */
constexpr base::Duration ReadSlice = milliseconds(100);
constexpr base::Duration RequestLimit = std::chrono::seconds(5);
constexpr base::Duration EventInterval = milliseconds(20);
/** Distance of the seeds of two workers, each of whose connections has a seed of its own. */
constexpr std::uint64_t ConnectionSeeds = 1'000'003;
constexpr int StreamEvents = 5;
constexpr int CutAfterEvents = 3;
constexpr int LongestShortWorkMs = 60;
constexpr int LongestSurplusDelayMs = 30;
constexpr std::string_view GetMethod = "GET ";
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;
/** Share of a faulty worker's refusals that it sends twice. */
constexpr double RepeatedRefusalShare = 0.3;

/** Shares of the behaviours of a faulty worker; each begins where the one before ends. */
struct Behaviour {
  static constexpr double Refuse = 0.05;
  static constexpr double CloseUnread = 0.06;
  static constexpr double CloseAfterRun = 0.08;
  static constexpr double ResetAfterRun = 0.09;
  static constexpr double LastAnswer = 0.11;
  static constexpr double CutAnswer = 0.13;
  static constexpr double LongWork = 0.16;
  static constexpr double Surplus = 0.40;
  /** Answers that do not end, or that are no answers. */
  static constexpr double Misanswer = 0.41;
};
/** Share of long runs at a sound worker. */
constexpr double SoundLongShare = 0.05;

std::string workOf(const WireMessage& request) {
  const std::string_view key = request.header("Idempotency-Key");
  // A client may pad its body after the first line.
  return key.empty() ? request.body.substr(0, request.body.find('\n')) : std::string(key);
}

bool isOneShot(const WireMessage& request) {
  return !request.header("Idempotency-Key").empty();
}

/** @return the beginning of an answer whose body lacks `missing` bytes. */
std::string cutAnswer(std::string_view header_lines, std::size_t missing) {
  const std::string whole =
      responseText(200, header_lines, "once more" + std::string(missing, '.'));
  return whole.substr(0, whole.size() - missing);
}

/** Bytes at the start of a body that may ask for a script. */
constexpr std::size_t SearchedBodyBytes = 512;

const AnswerScript* requestedAnswer(const WireMessage& request) {
  const AnswerScript* script = testbed::requestedAnswer(request.first_line);
  const std::string_view body = request.body;
  return script != nullptr ? script : testbed::requestedAnswer(body.substr(0, SearchedBodyBytes));
}

/** Counts a running request for as long as it exists. */
class ActiveCount {
 public:
  explicit ActiveCount(std::atomic<int>& count) : count_(count) { ++count_; }
  ~ActiveCount() { --count_; }
  ActiveCount(const ActiveCount&) = delete;
  ActiveCount& operator=(const ActiveCount&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

WireWorker::WireWorker(WireWorkerOptions options, RunLedger& ledger)
    : options_(std::move(options)), ledger_(ledger), address_(options_.address) {
  start();
  // Other threads may read the address from here on; a restart keeps the port.
  address_ = listener_->address();
}

WireWorker::~WireWorker() {
  stop();
}

std::string WireWorker::id() const {
  const std::lock_guard lock(mutex_);
  return instance_->id;
}

std::vector<std::string> WireWorker::listedIds(base::Duration lag) const {
  const Clock::time_point now = Clock::now();
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids{instance_->id};
  for (const EndedInstance& ended : ended_instances_) {
    if (now - ended.ended_at < lag) {
      ids.push_back(ended.id);
    }
  }
  return ids;
}

std::unique_ptr<BlockingListener> WireWorker::listen() const {
  Interruption pause;
  for (int attempt = 1; attempt < ListenAttempts; ++attempt) {
    try {
      return std::make_unique<BlockingListener>(address_);
    } catch (const base::Error&) {
      // A process that was forked meanwhile holds the former socket until it runs its program.
      pause.wait(ListenPause);
    }
  }
  return std::make_unique<BlockingListener>(address_);
}

void WireWorker::start() {
  listener_ = listen();
  auto instance = std::make_shared<Instance>();
  {
    const std::lock_guard lock(mutex_);
    instance->id = options_.name + "-" + std::to_string(++generation_);
    instance_ = instance;
  }
  accepting_ = std::thread([this, instance] { acceptConnections(instance); });
}

void WireWorker::stop() {
  {
    const std::lock_guard lock(mutex_);
    instance_->ended.raise();
    ended_instances_.push_back({instance_->id, Clock::now()});
  }
  accepting_.join();
  for (Connection& connection : std::exchange(connections_, {})) {
    connection.thread.join();
  }
  listener_.reset();
}

void WireWorker::restart(base::Duration away) {
  stop();
  Interruption pause;
  pause.wait(away);
  start();
}

void WireWorker::acceptConnections(const InstancePtr& instance) {
  std::uint64_t number = 0;
  while (!instance->ended.raised()) {
    std::optional<BlockingSocket> socket = listener_->accept(AcceptInterval);
    if (!socket) {
      continue;
    }
    joinEndedConnections();
    const std::uint64_t seed = options_.seed * ConnectionSeeds + ++number;
    auto ended = std::make_shared<std::atomic<bool>>(false);
    std::thread thread([this, instance, seed, ended, accepted = std::move(*socket)]() mutable {
      serve(instance, std::move(accepted), seed);
      *ended = true;
    });
    connections_.push_back({std::move(thread), std::move(ended)});
  }
}

void WireWorker::joinEndedConnections() {
  std::erase_if(connections_, [](Connection& connection) {
    const bool has_ended = *connection.ended;
    if (has_ended) {
      connection.thread.join();
    }
    return has_ended;
  });
}

void WireWorker::serve(const InstancePtr& instance, BlockingSocket socket, std::uint64_t seed) {
  base::RandomSource random(seed);
  MessageReader reader(socket);
  while (!instance->ended.raised()) {
    Exchange exchange{*instance, socket, random, {}, {}, random.uniform()};
    if (!socket.waitForBytes(ReadSlice)) {
      continue;
    }
    if (reader.read(exchange.request, Clock::now() + RequestLimit) != MessageOutcome::Complete) {
      return;
    }
    exchange.request_id = exchange.request.header(options_.names.request_id);
    if (!answer(exchange)) {
      return;
    }
  }
  socket.reset();
}

bool WireWorker::answer(Exchange& exchange) {
  if (exchange.request.first_line.starts_with(GetMethod)) {
    return answerGet(exchange);
  }
  const std::string_view expected = exchange.request.header(options_.names.expect_instance);
  if (!expected.empty() && expected != exchange.instance.id) {
    return refuse(exchange, StatusMisdirected);
  }
  if (const AnswerScript* script = requestedAnswer(exchange.request)) {
    return misanswer(exchange, *script);
  }
  const bool refuses = options_.faulty && exchange.draw < Behaviour::Refuse;
  if (refuses || exchange.instance.active >= options_.slots) {
    return refuse(exchange, StatusUnavailable);
  }
  if (options_.faulty && exchange.draw < Behaviour::CloseUnread) {
    return false;
  }
  return run(exchange);
}

bool WireWorker::answerGet(Exchange& exchange) const {
  if (!options_.answer_get) {
    return exchange.socket.write(responseText(200, "", ""));
  }
  std::string_view target = exchange.request.first_line;
  target.remove_prefix(GetMethod.size());
  target = target.substr(0, target.find(' '));
  return exchange.socket.write(options_.answer_get(target, exchange.instance.id));
}

bool WireWorker::misanswers(const Exchange& exchange) const {
  return options_.faulty && exchange.draw >= Behaviour::Surplus &&
         exchange.draw < Behaviour::Misanswer;
}

bool WireWorker::misanswer(Exchange& exchange, const AnswerScript& script) const {
  const std::string opening =
      "HTTP/1.1 200 OK\r\n" + idHeader(exchange.request_id) + script.opening;
  bool is_open = exchange.socket.write(opening);
  for (std::size_t sent = 0; is_open && sent < script.filler_bytes;) {
    is_open = !exchange.instance.ended.raised() && exchange.socket.write(script.filler);
    sent += script.filler.size();
  }
  // Stays connected: what it has begun never ends.
  while (is_open && exchange.instance.ended.wait(ReadSlice)) {
    is_open = !exchange.socket.waitForBytes({});
  }
  if (exchange.instance.ended.raised()) {
    // An orderly close would complete an answer without a length.
    exchange.socket.reset();
  }
  return false;
}

std::string WireWorker::idHeader(std::string_view id) const {
  return options_.names.request_id + ": " + std::string(id) + "\r\n";
}

std::string WireWorker::notRunHeader() const {
  return options_.names.not_run + ": true\r\n";
}

std::string WireWorker::clientId(const WireMessage& request) const {
  // A one-shot reaches the worker under an id of the front.
  const std::string_view caller = request.header("Caller-Request-Id");
  return std::string(caller.empty() ? request.header(options_.names.request_id) : caller);
}

bool WireWorker::refuse(Exchange& exchange, int status) const {
  const std::string refusal =
      responseText(status, idHeader(exchange.request_id) + notRunHeader(), "");
  const bool is_repeated = options_.faulty && exchange.random.chance(RepeatedRefusalShare);
  return exchange.socket.write(refusal) && (!is_repeated || writeLate(exchange, refusal));
}

bool WireWorker::writeLate(Exchange& exchange, const std::string& bytes) {
  const auto delay = milliseconds(exchange.random.below(LongestSurplusDelayMs + 1));
  return exchange.instance.ended.wait(delay) && exchange.socket.write(bytes);
}

base::Duration WireWorker::drawWorkTime(Exchange& exchange) const {
  const bool is_long =
      options_.faulty ? exchange.draw >= Behaviour::CutAnswer && exchange.draw < Behaviour::LongWork
                      : exchange.draw < SoundLongShare;
  if (is_long) {
    return milliseconds(500 + exchange.random.below(1'900));
  }
  return milliseconds(1 + exchange.random.below(LongestShortWorkMs));
}

bool WireWorker::run(Exchange& exchange) {
  const ActiveCount active(exchange.instance.active);
  ledger_.add(
      WorkerRun{clientId(exchange.request), workOf(exchange.request), exchange.instance.id});
  if (misanswers(exchange)) {
    const std::vector<AnswerScript>& scripts = answerScripts();
    return misanswer(exchange, scripts[exchange.random.below(scripts.size())]);
  }
  if (!exchange.instance.ended.wait(drawWorkTime(exchange))) {
    return false;
  }
  if (options_.faulty && exchange.draw < Behaviour::CloseAfterRun) {
    return false;
  }
  if (options_.faulty && exchange.draw < Behaviour::ResetAfterRun) {
    exchange.socket.reset();
    return false;
  }
  const bool is_stream = exchange.request.first_line.find(" /stream/") != std::string::npos;
  return is_stream ? answerStream(exchange) : answerWhole(exchange);
}

bool WireWorker::answerWhole(Exchange& exchange) {
  const std::string work = workOf(exchange.request);
  const std::string body = isOneShot(exchange.request) ? "{\"done\":\"" + work + "\"}" : work;
  const bool is_last = options_.faulty && exchange.draw >= Behaviour::ResetAfterRun &&
                       exchange.draw < Behaviour::LastAnswer;
  const bool is_cut = options_.faulty && exchange.draw >= Behaviour::LastAnswer &&
                      exchange.draw < Behaviour::CutAnswer;
  const std::string closing = is_last ? "Connection: close\r\n" : "";
  const std::string bytes = responseText(200, idHeader(exchange.request_id) + closing, body);
  if (is_cut) {
    exchange.socket.write(std::string_view(bytes).substr(0, bytes.size() / 2));
    return false;
  }
  return exchange.socket.write(bytes) && !is_last && sendSurplus(exchange);
}

bool WireWorker::answerStream(Exchange& exchange) {
  const bool is_cut = options_.faulty && exchange.draw >= Behaviour::LastAnswer &&
                      exchange.draw < Behaviour::CutAnswer;
  if (!exchange.socket.write(streamHeadText(idHeader(exchange.request_id)))) {
    return false;
  }
  for (int number = 1; number <= StreamEvents; ++number) {
    const bool written =
        exchange.socket.write(chunkText(eventText(number, workOf(exchange.request))));
    if (!written || !exchange.instance.ended.wait(EventInterval)) {
      return false;
    }
    if (is_cut && number == CutAfterEvents) {
      exchange.socket.reset();
      return false;
    }
  }
  return exchange.socket.write(chunkText("")) && sendSurplus(exchange);
}

bool WireWorker::sendSurplus(Exchange& exchange) const {
  const bool is_surplus =
      options_.faulty && exchange.draw >= Behaviour::LongWork && exchange.draw < Behaviour::Surplus;
  if (!is_surplus) {
    return true;
  }
  const std::string id = idHeader(exchange.request_id);
  const std::string not_run = notRunHeader();
  const std::array<std::string, 14> responses{
      responseText(503, not_run, ""),
      responseText(429, not_run, ""),
      responseText(421, "", ""),
      responseText(408, "", ""),
      responseText(503, "", "busy"),
      responseText(500, "", "failed"),
      responseText(200, "", "of no request"),
      responseText(503, id + not_run, ""),
      responseText(200, id, "once more"),
      responseText(503, not_run, "").substr(0, 20),
      // Cut so that the next response on the connection joins the head or the body.
      "HTTP/1.1 421 Mis",
      "HTTP/1.1 503 Busy\r\n" + not_run.substr(0, not_run.size() - 2),
      "HTTP/1.1 503 Busy\r\n" + not_run,
      cutAnswer(id, responseText(200, id, workOf(exchange.request)).size()),
  };
  return writeLate(exchange, responses.at(exchange.random.below(responses.size())));
}

}  // namespace switchsaddle::testbed
