#include "evacuation_scenario.h"

#include <chrono>
#include <memory>
#include <optional>

namespace switchsaddle::scenarios {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after which the operator turns to the next core. */
constexpr base::Duration Patience = seconds(1);
/** With the poll interval of the strand's delay, shorter than the operator's patience. */
constexpr base::Duration AcknowledgementDeadline = milliseconds(700);
constexpr base::Duration PauseBetweenAttempts = milliseconds(100);
constexpr base::Duration FormationTime = seconds(3);
constexpr base::Duration RecoveryTime = seconds(4);
constexpr base::Duration ReadLimit = seconds(10);
constexpr int MaximumAttempts = 30;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t FirstStatusOfServerFailure = 500;
constexpr const char* Path = "/v1/zones/hall/evacuation";
constexpr const char* Entry = "evacuations/hall";

/** The operator; each attempt goes to the next core. */
class EvacuatingOperator {
 public:
  explicit EvacuatingOperator(Fleet& fleet) : fleet_(fleet) {}

  /** Sends the order until it is acknowledged, or refused since an earlier attempt took effect. */
  bool order(const std::string& method) {
    for (int attempt = 0; attempt < MaximumAttempts; ++attempt) {
      if (attemptOnce(method)) {
        return true;
      }
      fleet_.world.runFor(PauseBetweenAttempts);
    }
    return false;
  }

 private:
  bool attemptOnce(const std::string& method) {
    const auto status = std::make_shared<std::optional<std::uint16_t>>();
    const std::string target = Path + std::string("?change_id=") + std::to_string(++attempts_);
    const base::NodeAddress core = fleet_.cores[attempts_ % fleet_.cores.size()]->address();
    fleet_.operators.front()->request(core, method, target, "",
                                      [status](const std::optional<wire::ControlReply>& reply) {
                                        *status = reply ? reply->status : 0;
                                      });
    fleet_.world.runUntil([status] { return status->has_value(); }, Patience);
    return status->value_or(0) >= StatusOk && **status < FirstStatusOfServerFailure;
  }

  Fleet& fleet_;
  std::uint64_t attempts_ = 0;
};

/** @return whether the first core to answer has the zone as evacuated. */
bool isEvacuated(Fleet& fleet) {
  std::optional<std::string> document;
  for (const auto& core : fleet.cores) {
    bool answered = false;
    fleet.operators.front()->readConfiguration(core->address(),
                                               [&](std::optional<std::string> body) {
                                                 answered = true;
                                                 document = std::move(body);
                                               });
    fleet.world.runUntil([&answered] { return answered; }, ReadLimit);
    if (document) {
      return document->find(Entry) != std::string::npos;
    }
  }
  return false;
}

}  // namespace

exploration::RunReport EvacuationScenario::run(const exploration::Schedule& schedule,
                                               bool keep_trace) const {
  FleetSize size;
  size.cores = 3;
  size.fronts = 0;
  size.acknowledgement_deadline = AcknowledgementDeadline;
  ExploredFleet explored(size, faults_);
  explored.includeOperators();
  Fleet& fleet = explored.fleet();
  exploration::DeviatingNetwork network(fleet.world, fleet.network, explored, schedule);
  if (keep_trace) {
    network.keepTrace();
  }
  fleet.world.runFor(FormationTime);
  network.open();
  EvacuatingOperator commander(fleet);
  const bool acknowledged =
      commander.order("POST") && commander.order("DELETE") && commander.order("POST");
  network.close();
  fleet.world.runFor(RecoveryTime);
  if (!acknowledged) {
    explored.violate("an order is never acknowledged");
  } else if (!isEvacuated(fleet)) {
    explored.violate("the zone is not evacuated after its evacuation was acknowledged");
  }
  return {explored.violation(), network.messages(), network.fingerprint(), network.states(),
          network.trace()};
}

}  // namespace switchsaddle::scenarios
