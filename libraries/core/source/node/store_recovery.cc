#include "switchsaddle/core/node/store_recovery.h"

#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::core {

namespace {

constexpr base::Duration RetryDelay = std::chrono::seconds(1);

}  // namespace

StoreRecovery::StoreRecovery(const CoreEnvironment& environment, registers::Acceptor& acceptor,
                             lease::LeaseGranter& granter, std::function<void()> recovered)
    : environment_(environment),
      acceptor_(acceptor),
      granter_(granter),
      recovered_(std::move(recovered)),
      retry_timer_(environment.dispatcher.createTimer([this] { open(); })) {}

void StoreRecovery::start() {
  open();
}

void StoreRecovery::stop() {
  retry_timer_->disable();
}

void StoreRecovery::open() {
  environment_.store.open(
      callbacks_.guard([this](base::ResultCode code, const storage::OpenedStore& opened) {
        onOpened(code, opened);
      }));
}

void StoreRecovery::onOpened(base::ResultCode code, const storage::OpenedStore& opened) {
  if (code != base::ResultCode::Ok) {
    fault_ = base::describe(code).name;
    reportNotOpened(code);
    retry_timer_->enable(RetryDelay);
    return;
  }
  fault_ = opened.loss;
  if (!opened.loss.empty()) {
    reportLost(opened.loss);
  }
  if (!load(opened)) {
    retry_timer_->enable(RetryDelay);
    return;
  }
  environment_.journal.append(journal::Subject::Storage, "instance",
                              std::to_string(opened.instance), 0);
  recovered_();
}

bool StoreRecovery::load(const storage::OpenedStore& opened) {
  try {
    acceptor_.load(opened);
    granter_.load(opened);
  } catch (const base::Error& error) {
    fault_ = error.what();
    environment_.journal.append(journal::Subject::Storage, "load", error.what(), 0);
    return false;
  }
  return true;
}

void StoreRecovery::reportNotOpened(base::ResultCode code) {
  base::Incident incident;
  incident.event = "storage-not-opened";
  incident.severity = base::Severity::Error;
  incident.code = code;
  incident.dumps_ring = true;
  environment_.incidentSink().report(incident);
}

void StoreRecovery::reportLost(const std::string& reason) {
  base::Incident incident;
  incident.event = "storage-lost";
  incident.severity = base::Severity::Error;
  incident.code = base::ResultCode::RecordCorrupt;
  incident.fields = {{"reason", reason}};
  environment_.incidentSink().report(incident);
}

}  // namespace switchsaddle::core
