#include "switchsaddle/transport/asio_dispatcher.h"

#include <time.h>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "switchsaddle/transport/system_boot_clock.h"

namespace switchsaddle::transport {

namespace {

/**
 * Timer on an Asio timer. Each enable() has its own number: the handler of an earlier one compares
 * it and does nothing, although Asio may already have queued it.
 */
class AsioTimer : public base::Timer {
 public:
  AsioTimer(const AsioDispatcher::Strand& strand, std::function<void()> callback)
      : timer_(strand), state_(std::make_shared<State>()) {
    state_->callback = std::move(callback);
  }
  ~AsioTimer() override { ++state_->arming; }

  void enable(base::Duration delay) override {
    const std::uint64_t arming = ++state_->arming;
    state_->enabled = true;
    timer_.expires_after(delay);
    timer_.async_wait([state = state_, arming](const boost::system::error_code&) {
      if (state->arming != arming) {
        return;
      }
      state->enabled = false;
      state->callback();
    });
  }
  void disable() override {
    ++state_->arming;
    state_->enabled = false;
    timer_.cancel();
  }
  bool enabled() const override { return state_->enabled; }

 private:
  struct State {
    std::function<void()> callback;
    std::uint64_t arming = 0;
    bool enabled = false;
  };

  boost::asio::basic_waitable_timer<SystemBootClock, BootWaitTraits, AsioDispatcher::Strand> timer_;
  std::shared_ptr<State> state_;
};

}  // namespace

base::TimePoint SystemBootClock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

AsioDispatcher::AsioDispatcher(boost::asio::io_context& context)
    : strand_(boost::asio::make_strand(context)) {}

base::TimePoint AsioDispatcher::now() const {
  return SystemBootClock::now();
}

base::TimerPtr AsioDispatcher::createTimer(std::function<void()> callback) {
  return std::make_unique<AsioTimer>(strand_, std::move(callback));
}

void AsioDispatcher::post(std::function<void()> callback) {
  boost::asio::post(strand_, std::move(callback));
}

}  // namespace switchsaddle::transport
