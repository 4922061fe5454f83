#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/**
 * @file
 * The operations of the control API with their methods and paths.
 */

namespace switchsaddle::core {

enum class ControlOperation : std::uint8_t {
  GetConfiguration,
  GetHistory,
  GetInForce,
  PostChange,
  PostEvacuation,
  DeleteEvacuation,
  PostKey,
  DeleteKey,
  GetStatus,
  GetState,
  PostReplacement,
  GetHealth,
  GetWorkerHealth,
  GetMaintenance,
  PostNextMaintenance,
  PostMaintenance,
  DeleteMaintenance
};

/** The result of routing one request. */
struct ControlRoute {
  /** Whether some operation has the path, with any method. */
  bool known_path = false;
  /** std::nullopt if no operation has both path and method. */
  std::optional<ControlOperation> operation;
  /** The variable segment of the path, such as a zone or a worker; empty if there is none. */
  std::string name;
};

/** Routes a method on a target; the target's query is ignored. */
ControlRoute routeControl(std::string_view method, std::string_view target);

}  // namespace switchsaddle::core
