#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace switchsaddle::http {

/**
 * One-shot timer that can be re-armed. Each arm() and cancel() has its own number, which the
 * handler compares: a handler that Asio has already queued does nothing once the timer has been
 * re-armed or cancelled. Runs on the executor's strand.
 */
class DeadlineTimer {
 public:
  template <class Executor>
  explicit DeadlineTimer(const Executor& executor) : timer_(executor) {}

  /** Calls `on_expired` after the delay unless the timer is re-armed or cancelled before. */
  template <class Callback>
  void arm(std::chrono::nanoseconds delay, Callback on_expired) {
    const std::uint64_t arming = ++*arming_;
    timer_.expires_after(delay);
    timer_.async_wait([current = arming_, arming, on_expired = std::move(on_expired)](
                          const boost::system::error_code&) mutable {
      if (*current == arming) {
        on_expired();
      }
    });
  }

  void cancel() {
    ++*arming_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::uint64_t> arming_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace switchsaddle::http
