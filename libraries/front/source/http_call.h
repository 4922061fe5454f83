#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/front/worker_port.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::front {

/**
 * One request's two sides: cancelled from the control strand, called on by the client from whatever
 * thread. Observers have onBytes(), onComplete() and onFailure(); how they hear of the header is
 * given.
 */
template <class Observer>
class HttpCall : public WorkerCall,
                 public http::ExchangeObserver,
                 public std::enable_shared_from_this<HttpCall<Observer>> {
 public:
  using TellHead = std::function<void(Observer&, const http::Response&)>;

  HttpCall(base::Dispatcher& dispatcher, std::shared_ptr<Observer> observer, TellHead tell_head)
      : dispatcher_(dispatcher), observer_(std::move(observer)), tell_head_(std::move(tell_head)) {}

  void setExchange(std::shared_ptr<http::Exchange> exchange) { exchange_ = std::move(exchange); }

  void cancel() override {
    cancelled_ = true;
    observer_.reset();
    if (exchange_) {
      std::exchange(exchange_, nullptr)->cancel();
    }
  }

  void onResponseHead(const http::Response& head) override {
    tell([this, head](Observer& observer) { tell_head_(observer, head); });
  }
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    tell([bytes = std::move(bytes), resume = std::move(resume)](Observer& observer) {
      observer.onBytes(bytes, resume);
    });
  }
  void onComplete() override {
    tell([](Observer& observer) { observer.onComplete(); });
  }
  void onFailure(http::ExchangeFailure failure, bool refused) override {
    const WorkerFailure kind = failure == http::ExchangeFailure::NotConnected
                                   ? WorkerFailure::NotSent
                                   : WorkerFailure::Lost;
    tell([kind, refused](Observer& observer) { observer.onFailure(kind, refused); });
  }

 private:
  template <class Action>
  void tell(Action action) {
    dispatcher_.post([self = this->shared_from_this(), action = std::move(action)] {
      const std::shared_ptr<Observer> observer = self->observer_;
      if (!self->cancelled_ && observer) {
        action(*observer);
      }
    });
  }

  base::Dispatcher& dispatcher_;
  // These three belong to the control strand.
  std::shared_ptr<Observer> observer_;
  std::shared_ptr<http::Exchange> exchange_;
  bool cancelled_ = false;
  TellHead tell_head_;
};

}  // namespace switchsaddle::front
