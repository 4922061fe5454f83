#include "switchsaddle/testbed/load/load_runner.h"

#include <algorithm>
#include <boost/json.hpp>

namespace switchsaddle::testbed {
namespace {

constexpr int MaximumResends = 2;
constexpr std::size_t BytesPerToken = 4;
constexpr base::Duration AnswerLimit = std::chrono::seconds(30);

std::string streamBody(const Arrival& arrival) {
  boost::json::array segments;
  for (const PrefixSegment& segment : arrival.segments) {
    segments.push_back({{"id", segment.id}, {"tokens", segment.tokens}});
  }
  const std::string content(arrival.prompt_tokens * BytesPerToken, 'x');
  const boost::json::array messages{{{"role", "user"}, {"content", content}}};
  return boost::json::serialize(boost::json::object{{"model", arrival.model},
                                                    {"messages", messages},
                                                    {"stream", true},
                                                    {"max_tokens", arrival.max_tokens},
                                                    {"prefix_parts", std::move(segments)}});
}

std::string oneShotBody(const Arrival& arrival) {
  const boost::json::object payload{{"order", arrival.idempotency_key}};
  return boost::json::serialize(
      boost::json::object{{"service", arrival.service}, {"payload", payload}});
}

bool isAnswerLost(const CallEvent& answer) {
  return answer.end == call_end::Lost || answer.end == call_end::Cut ||
         answer.end == call_end::NotConnected;
}

bool serves(const ListedWorker& worker, const Arrival& arrival) {
  if (arrival.kind == CallKind::OneShot) {
    return worker.service == arrival.service;
  }
  const auto& models = worker.models;
  return worker.stage == "both" &&
         std::find(models.begin(), models.end(), arrival.model) != models.end();
}

}  // namespace

LoadRunner::LoadRunner(LoadPlan plan, LoadTargets targets, std::uint64_t seed,
                       base::Duration duration, CallRecorder recorder, http::Client& client,
                       std::function<void()> finished)
    : plan_(std::move(plan)),
      targets_(std::move(targets)),
      generator_(plan_, seed),
      random_(seed + 1),
      seed_(seed),
      duration_(duration),
      recorder_(recorder),
      client_(client),
      finished_(std::move(finished)),
      arrival_timer_(recorder.dispatcher.createTimer([this] { onArrival(); })) {}

void LoadRunner::start() {
  started_ = recorder_.dispatcher.now();
  schedule();
}

void LoadRunner::schedule() {
  next_ = generator_.next();
  if (next_.at >= duration_) {
    arrivals_ended_ = true;
    finishIfIdle();
    return;
  }
  const base::Duration wait = started_ + next_.at - recorder_.dispatcher.now();
  arrival_timer_->enable(std::max(wait, base::Duration::zero()));
}

void LoadRunner::onArrival() {
  const Arrival arrival = next_;
  send(arrival, 0, {});
  schedule();
}

std::vector<base::NodeAddress> LoadRunner::candidates(const Arrival& arrival) const {
  if (targets_.workers.empty()) {
    return targets_.fronts;
  }
  std::vector<base::NodeAddress> addresses;
  for (const ListedWorker& worker : targets_.workers) {
    if (serves(worker, arrival)) {
      addresses.push_back(worker.address);
    }
  }
  return addresses;
}

base::NodeAddress LoadRunner::chooseTarget(const Arrival& arrival,
                                           const base::NodeAddress& avoided) {
  std::vector<base::NodeAddress> addresses = candidates(arrival);
  if (addresses.size() > 1) {
    std::erase(addresses, avoided);
  }
  return addresses.empty() ? base::NodeAddress{} : addresses[random_.below(addresses.size())];
}

http::Request LoadRunner::requestOf(const Arrival& arrival, const std::string& request_id) const {
  const LoadTenant& tenant = plan_.tenants[arrival.tenant];
  const bool stream = arrival.kind == CallKind::Stream;
  http::Request request;
  request.method = "POST";
  request.target = stream ? "/v1/chat/completions" : "/v1/one-shots";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + tenant.key},
                     {"Request-Id", request_id},
                     {"Tenant", tenant.name}};
  if (!stream) {
    request.headers.push_back({"Idempotency-Key", arrival.idempotency_key});
  }
  request.body = stream ? streamBody(arrival) : oneShotBody(arrival);
  return request;
}

void LoadRunner::send(const Arrival& arrival, int attempt, const base::NodeAddress& avoided) {
  const base::NodeAddress target = chooseTarget(arrival, avoided);
  if (target.empty()) {
    return;
  }
  CallEvent sent;
  sent.event = "sent";
  sent.call = ++calls_;
  sent.kind = arrival.kind == CallKind::Stream ? "stream" : "one-shot";
  sent.request_id = "load" + std::to_string(seed_) + "-" + std::to_string(sent.call);
  sent.idempotency_key = arrival.idempotency_key;
  sent.tenant = plan_.tenants[arrival.tenant].name;
  sent.model = arrival.model;
  sent.target = target.toString();
  recorder_.record(sent);
  ++outstanding_;
  auto observer = std::make_shared<CallExchange>(
      recorder_, sent, [this, arrival, attempt, target](const CallEvent& answer) {
        onEnded(arrival, attempt, target, answer);
      });
  http::ExchangeOptions options;
  options.response_timeout = AnswerLimit;
  client_.start(target, requestOf(arrival, sent.request_id), options, std::move(observer));
  if (arrival.resent_early && attempt == 0) {
    resendLater(arrival, MaximumResends, target);
  }
}

void LoadRunner::onEnded(const Arrival& arrival, int attempt, const base::NodeAddress& target,
                         const CallEvent& answer) {
  --outstanding_;
  const bool may_resend = arrival.kind == CallKind::OneShot && attempt < MaximumResends;
  if (may_resend && isRetried(answer)) {
    resendLater(arrival, attempt + 1, target);
  }
  finishIfIdle();
}

bool LoadRunner::isRetried(const CallEvent& answer) {
  if (answer.outcome == "not-run") {
    return random_.chance(plan_.resend_refused_share);
  }
  return isAnswerLost(answer);
}

void LoadRunner::resendLater(const Arrival& arrival, int attempt,
                             const base::NodeAddress& avoided) {
  ++outstanding_;
  resend_timers_.push_back(recorder_.dispatcher.createTimer([this, arrival, attempt, avoided] {
    --outstanding_;
    send(arrival, attempt, avoided);
    finishIfIdle();
  }));
  resend_timers_.back()->enable(plan_.resend_delay);
}

void LoadRunner::finishIfIdle() {
  if (arrivals_ended_ && outstanding_ == 0) {
    finished_();
  }
}

}  // namespace switchsaddle::testbed
