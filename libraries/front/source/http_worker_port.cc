#include "switchsaddle/front/http_worker_port.h"

#include <charconv>
#include <utility>

namespace switchsaddle::front {

namespace {

std::uint32_t parseCount(std::string_view text) {
  std::uint32_t count = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), count);
  return fault == std::errc() && end == text.data() + text.size() ? count : 0;
}

/** Parses "running=R,queued=Q,slots=S"; names it does not know are passed over. */
std::optional<WorkerLoad> parseLoad(std::string_view text) {
  if (text.empty()) {
    return std::nullopt;
  }
  WorkerLoad load;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    const std::string_view name = part.substr(0, equals);
    const std::uint32_t count = parseCount(part.substr(equals + 1));
    if (name == "running") {
      load.running = count;
    } else if (name == "queued") {
      load.queued = count;
    } else if (name == "slots") {
      load.slots = count;
    }
  }
  return load;
}

/** One request's two sides; cancelled from the control strand, called on by the client. */
class HttpWorkerCall : public WorkerCall,
                       public http::ExchangeObserver,
                       public std::enable_shared_from_this<HttpWorkerCall> {
 public:
  HttpWorkerCall(base::Dispatcher& dispatcher, std::shared_ptr<WorkerObserver> observer)
      : dispatcher_(dispatcher), observer_(std::move(observer)) {}

  void setExchange(std::shared_ptr<http::Exchange> exchange) { exchange_ = std::move(exchange); }

  void cancel() override {
    cancelled_ = true;
    observer_.reset();
    if (exchange_) {
      std::exchange(exchange_, nullptr)->cancel();
    }
  }

  void onResponseHead(const http::Response& head) override {
    tell([parsed = parseWorkerHead(head)](WorkerObserver& observer) { observer.onHead(parsed); });
  }
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    tell([bytes = std::move(bytes), resume = std::move(resume)](WorkerObserver& observer) {
      observer.onBytes(bytes, resume);
    });
  }
  void onComplete() override {
    tell([](WorkerObserver& observer) { observer.onComplete(); });
  }
  void onFailure(http::ExchangeFailure failure, bool refused) override {
    const WorkerFailure kind = failure == http::ExchangeFailure::NotConnected
                                   ? WorkerFailure::NotSent
                                   : WorkerFailure::Lost;
    tell([kind, refused](WorkerObserver& observer) { observer.onFailure(kind, refused); });
  }

 private:
  template <class Action>
  void tell(Action action) {
    dispatcher_.post([self = shared_from_this(), action = std::move(action)] {
      const std::shared_ptr<WorkerObserver> observer = self->observer_;
      if (!self->cancelled_ && observer) {
        action(*observer);
      }
    });
  }

  base::Dispatcher& dispatcher_;
  // These three belong to the control strand.
  std::shared_ptr<WorkerObserver> observer_;
  std::shared_ptr<http::Exchange> exchange_;
  bool cancelled_ = false;
};

http::Request toHttpRequest(const WorkerRequest& request) {
  http::Request message;
  message.method = "POST";
  message.target = request.target;
  message.body = request.body;
  message.headers.push_back({"Content-Type", "application/json"});
  message.headers.push_back({"Request-Id", request.request_id});
  message.headers.push_back({"Tenant", request.tenant});
  if (!request.caller_request_id.empty()) {
    message.headers.push_back({"Caller-Request-Id", request.caller_request_id});
  }
  if (!request.idempotency_key.empty()) {
    message.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  if (request.decode) {
    message.headers.push_back({"Decode-Worker", request.decode->toString()});
  }
  return message;
}

}  // namespace

WorkerHead parseWorkerHead(const http::Response& head) {
  WorkerHead parsed;
  parsed.status = head.status;
  parsed.request_id = head.header("Request-Id");
  parsed.run = head.header("Run");
  parsed.weights_version = head.header("Versions");
  parsed.load = parseLoad(head.header("Worker-Load"));
  parsed.cached_tokens = parseCount(head.header("Cached-Tokens"));
  parsed.draining = head.header("Worker-State") == "draining";
  parsed.not_run = head.header("Not-Run") == "true";
  return parsed;
}

HttpWorkerPort::HttpWorkerPort(base::Dispatcher& dispatcher, http::Client& client,
                               std::string local_ip)
    : dispatcher_(dispatcher), client_(client), local_ip_(std::move(local_ip)) {}

WorkerCallPtr HttpWorkerPort::send(const WorkerRequest& request,
                                   std::shared_ptr<WorkerObserver> observer) {
  http::ExchangeOptions options;
  options.response_timeout = request.response_timeout;
  options.fresh_connection = request.fresh_connection;
  options.local_ip = local_ip_;
  auto call = std::make_shared<HttpWorkerCall>(dispatcher_, std::move(observer));
  call->setExchange(client_.start(request.address, toHttpRequest(request), options, call));
  return call;
}

}  // namespace switchsaddle::front
