#include "switchsaddle/core/configuration/configuration_follower.h"

#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/register_value.h"

namespace switchsaddle::core {

ConfigurationFollower::ConfigurationFollower(base::Dispatcher& dispatcher,
                                             registers::RegisterProposer& proposer,
                                             CoreMembership& membership,
                                             dissemination::ConfigurationReplica& replica,
                                             InForceTracker& tracker, FollowerOptions options)
    : dispatcher_(dispatcher),
      proposer_(proposer),
      membership_(membership),
      replica_(replica),
      tracker_(tracker),
      options_(options),
      timer_(dispatcher.createTimer([this] { onTimer(); })) {}

void ConfigurationFollower::start() {
  running_ = true;
  read();
}

void ConfigurationFollower::stop() {
  running_ = false;
  timer_->disable();
}

void ConfigurationFollower::onAccepted(const std::string& value) {
  try {
    membership_.noteAcceptedVersion(configuration::decodeRegisterVersion(value));
  } catch (const base::Error&) {
    return;
  }
  if (running_ && !reading_ && isLagging()) {
    timer_->enable(options_.first_delay);
  }
}

bool ConfigurationFollower::isLagging() const {
  return replica_.version() < membership_.acceptedVersion();
}

void ConfigurationFollower::onTimer() {
  const base::TimePoint now = dispatcher_.now();
  if (!isLagging() && now < idle_due_) {
    timer_->enable(idle_due_ - now);
    return;
  }
  read();
}

void ConfigurationFollower::read() {
  timer_->disable();
  if (reading_ || !running_) {
    return;
  }
  if (membership_.coreAddresses().empty()) {
    timer_->enable(options_.retry_delay);
    return;
  }
  reading_ = true;
  proposer_.read(
      registers::ConfigurationRegister,
      callbacks_.guard([this](const registers::RegisterOutcome& outcome) { onRead(outcome); }));
}

void ConfigurationFollower::onRead(const registers::RegisterOutcome& outcome) {
  reading_ = false;
  idle_due_ = dispatcher_.now() + options_.idle_interval;
  if (outcome.code == base::ResultCode::Ok) {
    try {
      const configuration::RegisterValue value = configuration::decodeRegisterValue(outcome.value);
      replica_.apply(value.document.deltaSince(replica_.version()));
    } catch (const base::Error&) {
      // The next read and the scrubber detect a corrupt value again.
    }
    tracker_.pushToLocalSessions();
  }
  const bool retry = outcome.code != base::ResultCode::Ok || isLagging();
  if (running_) {
    timer_->enable(retry ? options_.retry_delay : options_.idle_interval);
  }
}

}  // namespace switchsaddle::core
