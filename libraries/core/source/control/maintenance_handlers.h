#pragma once

#include <string>
#include <vector>

#include "control/configuration_reader.h"
#include "switchsaddle/configuration/maintenance.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/core/control/control_service.h"

namespace switchsaddle::core {

/**
 * Handlers of the control API for the maintenance of workers: a worker in maintenance gets no new
 * requests and drains. Runs on the control strand.
 */
class MaintenanceHandlers {
 public:
  using Respond = ControlService::Respond;

  /** Both arguments outlive the handlers. */
  MaintenanceHandlers(const ControlDependencies& dependencies, const ConfigurationReader& reader)
      : dependencies_(dependencies), reader_(reader) {}

  /** Responds with the workers in maintenance and their requests in flight. */
  void getMaintenance(Respond respond) const;
  /** Takes the most unhealthy worker into maintenance. */
  void postNext(const http::Request& request, Respond respond) const;
  void postWorker(const http::Request& request, const std::string& worker, Respond respond) const;
  void deleteWorker(const http::Request& request, const std::string& worker, Respond respond) const;

 private:
  void submit(configuration::MaintenanceOrder order,
              const std::vector<configuration::Fault>& faults, const Caller& caller,
              Respond respond) const;
  void respondSubmitted(const ChangeAnswer& answer, const std::string& change_id,
                        const Respond& respond) const;

  const ControlDependencies& dependencies_;
  const ConfigurationReader& reader_;
};

}  // namespace switchsaddle::core
