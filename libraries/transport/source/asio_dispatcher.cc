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
 * Timer based on an Asio timer. enable(), disable() and destruction start a new generation; a
 * handler of an earlier generation does nothing, since Asio may already have queued it when the
 * timer was cancelled.
 */
class AsioTimer : public base::Timer {
 public:
  AsioTimer(const AsioDispatcher::Strand& strand, std::function<void()> callback)
      : timer_(strand), state_(std::make_shared<State>()) {
    state_->callback = std::move(callback);
  }
  ~AsioTimer() override { ++state_->generation; }

  void enable(base::Duration delay) override {
    const std::uint64_t generation = ++state_->generation;
    state_->enabled = true;
    timer_.expires_after(delay);
    timer_.async_wait([state = state_, generation](const boost::system::error_code&) {
      if (state->generation != generation) {
        return;
      }
      state->enabled = false;
      state->callback();
    });
  }
  void disable() override {
    ++state_->generation;
    state_->enabled = false;
    timer_.cancel();
  }
  bool enabled() const override { return state_->enabled; }

 private:
  struct State {
    std::function<void()> callback;
    std::uint64_t generation = 0;
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
