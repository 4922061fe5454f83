#include "switchsaddle/testbed/soak/wire_client.h"

#include <cmath>
#include <utility>

#include "switchsaddle/testbed/soak/wire_text.h"

namespace switchsaddle::testbed {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration ConnectLimit = std::chrono::seconds(1);
constexpr base::Duration AnswerLimit = std::chrono::seconds(5);
constexpr base::Duration Deadline = std::chrono::seconds(3);
constexpr int MaximumAttempts = 4;
/** Pauses before another attempt: some clients do not wait. */
constexpr base::Duration ShortPause = milliseconds(10);
constexpr base::Duration UsualPause = milliseconds(200);
constexpr double ImpatientShare = 0.3;
/** Share of the clients' works that are one-shots, and of those that are streams. */
constexpr double OneShotShare = 0.2;
constexpr double StreamShare = 0.4;
constexpr int StatusOk = 200;
constexpr int StreamEvents = 5;

AttemptEnd endOf(MessageOutcome outcome) {
  switch (outcome) {
    case MessageOutcome::Complete:
      return AttemptEnd::Answered;
    case MessageOutcome::ResetBefore:
      return AttemptEnd::Reset;
    case MessageOutcome::ClosedBefore:
    case MessageOutcome::Truncated:
      return AttemptEnd::Unanswered;
    case MessageOutcome::TimedOut:
      return AttemptEnd::TimedOut;
    case MessageOutcome::Malformed:
      break;
  }
  return AttemptEnd::Malformed;
}

std::string streamBody(const std::string& work) {
  std::string body;
  for (int number = 1; number <= StreamEvents; ++number) {
    body += eventText(number, work);
  }
  return body;
}

}  // namespace

WireClient::WireClient(WireClientOptions options, RunLedger& ledger)
    : options_(std::move(options)), ledger_(ledger), random_(options_.seed) {}

void WireClient::run(Interruption& interruption) {
  const auto mean_ms = static_cast<double>(base::toMilliseconds(options_.mean_pause));
  while (!interruption.raised()) {
    sendWork(interruption);
    const double pause_ms = -mean_ms * std::log(1 - random_.uniform());
    interruption.wait(milliseconds(static_cast<std::int64_t>(pause_ms)));
  }
}

void WireClient::sendWork(Interruption& interruption) {
  const double draw = random_.uniform();
  Kind kind = draw < StreamShare ? Kind::Stream : Kind::AtMostOnce;
  if (!options_.tenant_key.empty() && draw >= 1 - OneShotShare) {
    kind = Kind::OneShot;
  }
  const std::string work = "w" + std::to_string(options_.seed) + "-" + std::to_string(++works_);
  for (int count = 0; count < MaximumAttempts; ++count) {
    const ClientAttempt made = attempt(kind, work);
    ledger_.add(made);
    if (!mayRepeat(kind, made) || interruption.raised()) {
      return;
    }
    interruption.wait(random_.chance(ImpatientShare) ? ShortPause : UsualPause);
  }
}

bool WireClient::mayRepeat(Kind kind, const ClientAttempt& attempt) {
  if (kind == Kind::OneShot) {
    return attempt.status != StatusOk;
  }
  return promisesNoRun(attempt.status) || attempt.end == AttemptEnd::NotConnected ||
         attempt.end == AttemptEnd::Reset;
}

std::unique_ptr<WireClient::Connection> WireClient::takeConnection(const FrontTarget& front) {
  std::unique_ptr<Connection> connection = std::move(kept_[front.name]);
  if (connection == nullptr) {
    connection = std::make_unique<Connection>();
    if (connection->socket.connect(front.address, ConnectLimit) != ConnectOutcome::Connected) {
      return nullptr;
    }
  }
  return connection;
}

std::string WireClient::requestText(Kind kind, const ClientAttempt& attempt) {
  if (kind != Kind::OneShot) {
    return forwardedText(kind, attempt);
  }
  const std::string headers = "Request-Id: " + attempt.request_id +
                              "\r\nHost: own\r\nAuthorization: Bearer " + options_.tenant_key +
                              "\r\nIdempotency-Key: " + attempt.work +
                              "\r\nContent-Type: application/json\r\n";
  const std::string body =
      R"({"service":")" + options_.service + R"(","payload":{"order":")" + attempt.work + "\"}}";
  return postText("/v1/one-shots", headers, body);
}

std::string WireClient::forwardedText(Kind kind, const ClientAttempt& attempt) {
  std::string headers = options_.names.request_id + ": " + attempt.request_id +
                        "\r\nHost: " + options_.host + "\r\n" + options_.names.deadline_ms + ": " +
                        std::to_string(base::toMilliseconds(Deadline)) + "\r\n";
  if (options_.draw_headers) {
    headers += options_.draw_headers(random_);
  }
  std::string body = attempt.work;
  if (options_.padding_bytes > 0) {
    body += "\n" + std::string(random_.below(options_.padding_bytes), '.');
  }
  const std::string_view target = kind == Kind::Stream ? "/stream/" : "/once/";
  const bool is_chunked = attempts_ % 2 == 0;
  return is_chunked ? chunkedPostText(target, headers, body) : postText(target, headers, body);
}

ClientAttempt WireClient::attempt(Kind kind, const std::string& work) {
  const FrontTarget& front = options_.fronts[random_.below(options_.fronts.size())];
  ClientAttempt made;
  made.request_id = "a" + std::to_string(options_.seed) + "-" + std::to_string(++attempts_);
  made.work = work;
  made.front = front.name;
  std::unique_ptr<Connection> connection = takeConnection(front);
  if (connection == nullptr) {
    return made;
  }
  if (kind != Kind::OneShot) {
    made.deadline = Deadline;
  }
  const BlockingSocket::Clock::time_point sent_at = BlockingSocket::Clock::now();
  // A write to a connection that has ended fails or not; reading tells how it ended.
  connection->socket.write(requestText(kind, made));
  WireMessage answer;
  const MessageOutcome outcome =
      connection->reader.read(answer, BlockingSocket::Clock::now() + AnswerLimit);
  made.end = endOf(outcome);
  made.lasted = BlockingSocket::Clock::now() - sent_at;
  if (outcome == MessageOutcome::Complete) {
    judgeAnswer(kind, answer, made);
    if (answer.header("Connection") != "close") {
      kept_[front.name] = std::move(connection);
    }
  }
  return made;
}

void WireClient::judgeAnswer(Kind kind, const WireMessage& answer, ClientAttempt& attempt) const {
  attempt.status = answer.status();
  const std::string_view answered_id = answer.header(options_.names.request_id);
  const bool names_another =
      kind != Kind::OneShot && !answered_id.empty() && answered_id != attempt.request_id;
  bool body_fits = true;
  if (attempt.status == StatusOk) {
    switch (kind) {
      case Kind::AtMostOnce:
        body_fits = answer.body == attempt.work;
        break;
      case Kind::Stream:
        body_fits = answer.body == streamBody(attempt.work);
        break;
      case Kind::OneShot:
        body_fits = answer.body.find("\"" + attempt.work + "\"") != std::string::npos;
        break;
    }
  }
  attempt.foreign_answer = names_another || !body_fits;
}

}  // namespace switchsaddle::testbed
