#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/node/core_faults.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/metrics/strand_watch.h"
#include "switchsaddle/storage/record_store.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/workers/platform_source.h"

namespace switchsaddle::core {

/** The services that a core node runs on. All of them outlive the node. */
struct CoreEnvironment {
  base::Dispatcher& dispatcher;
  transport::PeerCalls& calls;
  storage::RecordStore& store;
  base::RandomSource& random;
  journal::Journal& journal;
  workers::PlatformSource& platform;
  const configuration::Settings& settings;
  /** Test-only deviations from the protocols. */
  CoreFaults faults = {};
  /** Receives the events meant for operators; they are dropped if null. */
  base::IncidentSink* incidents = nullptr;
  /** Measures the delay of the control strand; null if it is never late. */
  const metrics::StrandWatch* strand_watch = nullptr;

  /** @return the sink for operator events, which may drop them. */
  base::IncidentSink& incidentSink() const {
    return incidents == nullptr ? base::ignoredIncidents() : *incidents;
  }
};

}  // namespace switchsaddle::core
