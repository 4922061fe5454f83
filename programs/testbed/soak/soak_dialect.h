#pragma once

#include <memory>
#include <string>
#include <vector>

#include "soak/configuration_operator.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/soak/wire_client.h"
#include "switchsaddle/testbed/soak/wire_worker.h"

namespace switchsaddle::testbed_commands {

/** The service and pool that the workers of a soak belong to. */
inline constexpr const char* SoakService = "soak";
/** The host of the forwarded routes. */
inline constexpr const char* SoakHost = "soak.example";
/** The keys of a soak's operators and of its tenant. */
inline constexpr const char* SoakOperatorKey = "operator-soak-key";
inline constexpr const char* SoakTenantKey = "tenant-soak-key";

/** An instance of a worker as a list shows it. */
struct ListedInstance {
  std::string id;
  base::NodeAddress address;
  std::string zone;
};

/**
 * What the clients, workers, operators and the platform of a soak speak, and how its nodes are set
 * up. Thread-safe.
 */
class SoakDialect {
 public:
  SoakDialect() = default;
  virtual ~SoakDialect() = default;
  SoakDialect(const SoakDialect&) = delete;
  SoakDialect& operator=(const SoakDialect&) = delete;

  virtual void prepareWorker(testbed::WireWorkerOptions& worker) const = 0;
  virtual void prepareClient(testbed::WireClientOptions& client) const = 0;
  /** The platform's response to a request for its list, as JSON. */
  virtual std::string workerList(const std::vector<ListedInstance>& instances) const = 0;
  /** The request that puts the first configuration. */
  virtual http::Request firstConfiguration() const = 0;
  /** The settings file of a core or front for its next start. */
  virtual std::string settings(const testbed::FleetState& state,
                               const testbed::FleetProcess& process) const = 0;
  virtual OperatorPtr createOperator(OperatorContext context) const = 0;
  /** Whether operators may send to fronts, too. */
  virtual bool frontsServeOperators() const = 0;
};

/** The product's own interfaces. */
std::unique_ptr<SoakDialect> createProductDialect();

/**
 * The interfaces of the users' platform, with settings from their templates.
 * @param templates the folder that contains them.
 * @throws base::Error with StorageFailed if a template cannot be read.
 */
std::unique_ptr<SoakDialect> createPlatformDialect(const std::string& templates);

}  // namespace switchsaddle::testbed_commands
