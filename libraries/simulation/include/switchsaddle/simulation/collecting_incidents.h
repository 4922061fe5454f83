#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

#include "switchsaddle/base/incident.h"

namespace switchsaddle::simulation {

/** Records the incidents that would have been reported to an operator. */
class CollectingIncidents : public base::IncidentSink {
 public:
  void report(const base::Incident& incident) override { all.push_back(incident); }
  /** @return the first incident of this event, or null. */
  const base::Incident* find(std::string_view event) const {
    const auto found = std::find_if(all.begin(), all.end(), [&](const base::Incident& incident) {
      return incident.event == event;
    });
    return found == all.end() ? nullptr : &*found;
  }

  std::vector<base::Incident> all;
};

}  // namespace switchsaddle::simulation
