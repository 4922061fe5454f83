#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/**
 * One request over the HTTP client: cancelled on the control strand, called back by the client on
 * any thread. Posts the client's events to the control strand in order.
 *
 * Invariant: the observer is not called after cancel().
 * @tparam Head the form in which the observer receives the response header.
 */
template <class Head>
class HttpCall : public WorkerCall,
                 public http::ExchangeObserver,
                 public std::enable_shared_from_this<HttpCall<Head>> {
 public:
  using Observer = ResponseObserver<Head>;
  using HeadParser = std::function<Head(const http::Response&)>;

  /** @param parse_head converts the response header; runs on the control strand. */
  HttpCall(base::Dispatcher& dispatcher, std::shared_ptr<Observer> observer, HeadParser parse_head)
      : dispatcher_(dispatcher),
        observer_(std::move(observer)),
        parse_head_(std::move(parse_head)) {}

  /** Sets the client's exchange that cancel() ends. */
  void setExchange(std::shared_ptr<http::Exchange> exchange) { exchange_ = std::move(exchange); }

  void cancel() override {
    cancelled_ = true;
    observer_.reset();
    if (exchange_) {
      std::exchange(exchange_, nullptr)->cancel();
    }
  }

  void onResponseHead(const http::Response& head) override {
    postToObserver([this, head](Observer& observer) { observer.onHead(parse_head_(head)); });
  }
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    postToObserver([bytes = std::move(bytes), resume = std::move(resume)](Observer& observer) {
      observer.onBytes(bytes, resume);
    });
  }
  void onComplete() override {
    postToObserver([](Observer& observer) { observer.onComplete(); });
  }
  void onFailure(http::ExchangeFailure failure, bool refused) override {
    const WorkerFailure kind = failure == http::ExchangeFailure::NotConnected
                                   ? WorkerFailure::NotSent
                                   : WorkerFailure::Lost;
    postToObserver([kind, refused](Observer& observer) { observer.onFailure(kind, refused); });
  }

 private:
  template <class Action>
  void postToObserver(Action action) {
    dispatcher_.post([self = this->shared_from_this(), action = std::move(action)] {
      const std::shared_ptr<Observer> observer = self->observer_;
      if (!self->cancelled_ && observer) {
        action(*observer);
      }
    });
  }

  base::Dispatcher& dispatcher_;
  // The following three are used on the control strand only.
  std::shared_ptr<Observer> observer_;
  std::shared_ptr<http::Exchange> exchange_;
  bool cancelled_ = false;
  HeadParser parse_head_;
};

}  // namespace switchsaddle::front
