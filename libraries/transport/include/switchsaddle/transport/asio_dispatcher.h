#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::transport {

/**
 * The dispatcher of a real process: a strand of an io_context, with CLOCK_BOOTTIME. It must outlive
 * its timers. Timers that came due while the process was stopped or the machine suspended fire once
 * it runs again.
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
