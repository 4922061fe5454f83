#pragma once

#include <string>
#include <vector>

#include "control/configuration_reader.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/core/control/control_service.h"

namespace switchsaddle::core {

/**
 * Handlers of the control API for the configuration: reads, changes, evacuations of zones, and
 * keys. Runs on the control strand.
 */
class ConfigurationHandlers {
 public:
  using Respond = ControlService::Respond;

  /** Both arguments outlive the handlers. */
  ConfigurationHandlers(const ControlDependencies& dependencies, const ConfigurationReader& reader)
      : dependencies_(dependencies), reader_(reader) {}

  void getConfiguration(Respond respond) const;
  void getHistory(Respond respond) const;
  /** Responds with the version that each front with a live session has applied. */
  void getInForce(Respond respond) const;
  void postChange(const http::Request& request, Respond respond) const;
  void postEvacuation(const http::Request& request, const std::string& zone, Respond respond) const;
  void deleteEvacuation(const http::Request& request, const std::string& zone,
                        Respond respond) const;
  void postKey(const http::Request& request, Respond respond) const;
  void deleteKey(const http::Request& request, const std::string& key, Respond respond) const;

 private:
  void submit(const configuration::Change& change, bool dry_run, const Caller& caller,
              Respond respond) const;
  /** Submits the change of an operator's request, or responds with the faults of its body. */
  void submitOrder(const configuration::Change& change,
                   const std::vector<configuration::Fault>& faults, const Caller& caller,
                   Respond respond) const;

  const ControlDependencies& dependencies_;
  const ConfigurationReader& reader_;
};

}  // namespace switchsaddle::core
