#include "switchsaddle/simulation/disk_fault_injector.h"

#include "switchsaddle/base/error.h"

namespace switchsaddle::simulation {

void DiskFaultInjector::failOnce(DiskOperation kind, std::uint64_t nth, base::ResultCode code) {
  faults_[index(kind)] = Fault{counts_[index(kind)] + nth, code};
}

void DiskFaultInjector::tearWrite(std::uint64_t nth) {
  tear_at_ = counts_[index(DiskOperation::Write)] + nth;
}

void DiskFaultInjector::clear() {
  faults_ = {};
  tear_at_.reset();
}

void DiskFaultInjector::resume() {
  interrupted_ = false;
  interrupt_at_.reset();
}

void DiskFaultInjector::requireRunning() const {
  if (interrupted_) {
    throw DiskInterrupted{};
  }
}

bool DiskFaultInjector::count(DiskOperation kind) {
  requireRunning();
  ++operations_;
  ++counts_[index(kind)];
  interrupted_ = interrupt_at_ == operations_;
  return interrupted_;
}

void DiskFaultInjector::begin(DiskOperation kind) {
  if (count(kind)) {
    throw DiskInterrupted{};
  }
  throwFault(kind);
}

bool DiskFaultInjector::isFailing(DiskOperation kind) const {
  const std::optional<Fault>& fault = faults_[index(kind)];
  return fault && fault->at == counts_[index(kind)];
}

void DiskFaultInjector::throwFault(DiskOperation kind) {
  if (isFailing(kind)) {
    const base::ResultCode code = faults_[index(kind)]->code;
    faults_[index(kind)].reset();
    throw base::Error(code, "injected fault");
  }
}

}  // namespace switchsaddle::simulation
