#include "switchsaddle/core/membership/membership_role.h"

#include <string>

#include "node/core_options.h"
#include "node/lease_events.h"

namespace switchsaddle::core {

namespace {

std::string nameOf(SpreadShortfall shortfall) {
  switch (shortfall) {
    case SpreadShortfall::None:
      return "";
    case SpreadShortfall::Cores:
      return "cores";
    case SpreadShortfall::Zones:
      return "zones";
  }
  return "";
}

}  // namespace

MembershipRole::MembershipRole(const CoreEnvironment& environment, RegisterStack& registers,
                               std::uint64_t incarnation)
    : incidents_(environment.incidentSink()),
      acceptor_(registers.acceptor),
      lease_(environment.dispatcher, environment.calls, environment.random,
             leaseTimesOf(environment.settings.times), CoreMembershipLease, registers.membership,
             incarnation),
      reconciler_(
          environment.dispatcher, environment.calls, environment.journal, registers.acceptor,
          registers.set_change, [this] { return lease_.held(); },
          membershipOptionsOf(environment.settings)) {
  reconciler_.setShortfallListener(
      [this](SpreadShortfall shortfall) { reportShortfall(shortfall); });
  registers.bootstrap.setCandidateListener(
      [this](const wire::CoreAnnounce& candidate) { reconciler_.onCandidate(candidate); });
  lease_.setListener([this](bool gained) { onLease(gained); });
}

void MembershipRole::onLease(bool gained) {
  reportLease(incidents_, lease_, CoreMembershipLease, gained);
  if (gained) {
    reconciler_.start();
  } else {
    reconciler_.stop();
  }
}

void MembershipRole::reportShortfall(SpreadShortfall shortfall) {
  const bool is_over = shortfall == SpreadShortfall::None;
  base::Incident incident;
  incident.event = "tolerance-not-met";
  incident.severity = is_over ? base::Severity::Info : base::Severity::Warning;
  incident.code = is_over ? base::ResultCode::Ok : base::ResultCode::ToleranceNotMet;
  incident.fields = {{"lacking", nameOf(shortfall)},
                     {"members", std::to_string(acceptor_.acceptorSet().members.size())}};
  incidents_.report(incident);
}

LeaseStatus MembershipRole::status() const {
  return {CoreMembershipLease, lease_.held(), lease_.term()};
}

}  // namespace switchsaddle::core
