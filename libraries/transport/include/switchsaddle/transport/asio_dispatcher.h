#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::transport {

/**
 * Dispatcher on a strand of an io_context, with CLOCK_BOOTTIME as its clock. Must outlive its
 * timers. A timer that expires while the process is stopped or the machine suspended
 * fires when it resumes.
 */
class AsioDispatcher : public base::Dispatcher {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  explicit AsioDispatcher(boost::asio::io_context& context);

  base::TimePoint now() const override;
  base::TimerPtr createTimer(std::function<void()> callback) override;
  void post(std::function<void()> callback) override;
  const Strand& strand() const { return strand_; }

 private:
  Strand strand_;
};

}  // namespace switchsaddle::transport
