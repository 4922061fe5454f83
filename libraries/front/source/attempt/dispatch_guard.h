#pragma once

#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/**
 * Checks the conditions that must hold when a request is dispatched. They may have changed since it
 * was admitted. Keeps no state. Runs on the control strand.
 */
class DispatchGuard {
 public:
  /** Both arguments outlive the guard. */
  DispatchGuard(const sessions::SessionClient& session, const FleetView& fleet_view)
      : session_(session), fleet_view_(fleet_view) {}

  /** @return Ok while the front's session allows dispatches, else NotServing. */
  base::ResultCode checkSession() const {
    return session_.mayDispatch() ? base::ResultCode::Ok : base::ResultCode::NotServing;
  }
  /** @return Ok while the caller's key is in force, else UnknownKey, since it was revoked. */
  base::ResultCode checkKey(const std::string& key_hash) const {
    const bool in_force = fleet_view_.configuration()->keys.contains(key_hash);
    return in_force ? base::ResultCode::Ok : base::ResultCode::UnknownKey;
  }

 private:
  const sessions::SessionClient& session_;
  const FleetView& fleet_view_;
};

}  // namespace switchsaddle::front
