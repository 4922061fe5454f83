#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/membership/membership_reconciler.h"
#include "switchsaddle/core/node/core_faults.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/workers/platform_watcher.h"

/**
 * @file
 * Conversion of the settings and faults into the options of a core node's state machines.
 */

namespace switchsaddle::core {

lease::LeaseTimes leaseTimesOf(const configuration::TimeSettings& times);
/**
 * Times for leases that must fail over within two seconds: the quota ledgers' and the platform
 * watcher's, since changes of the workers are not published during a failover.
 */
lease::LeaseTimes shortLeaseTimesOf(const configuration::TimeSettings& times);
registers::AcceptorOptions acceptorOptionsOf(const CoreFaults& faults);
registers::ProposerOptions proposerOptionsOf(const configuration::TimeSettings& times);
registers::BootstrapOptions bootstrapOptionsOf(const configuration::Settings& settings,
                                               const CoreFaults& faults);
workers::PlatformWatcherOptions watcherOptionsOf(const configuration::TimeSettings& times);
MembershipOptions membershipOptionsOf(const configuration::Settings& settings);

}  // namespace switchsaddle::core
