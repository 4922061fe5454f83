#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/membership_reconciler.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/workers/platform_watcher.h"

/**
 * @file
 * The settings' times as the options of a core node's parts.
 */

namespace switchsaddle::core {

lease::LeaseTimes leaseTimesOf(const configuration::TimeSettings& times);
/** Those of leases that are to change hands within two seconds: the platform watcher's, since
 * workers that leave or come are known to nobody meanwhile, and the quota ledgers'. */
lease::LeaseTimes shortLeaseTimesOf(const configuration::TimeSettings& times);
registers::ProposerOptions proposerOptionsOf(const configuration::TimeSettings& times);
registers::BootstrapOptions bootstrapOptionsOf(const configuration::Settings& settings);
workers::PlatformWatcherOptions watcherOptionsOf(const configuration::TimeSettings& times);
MembershipOptions membershipOptionsOf(const configuration::Settings& settings);

}  // namespace switchsaddle::core
