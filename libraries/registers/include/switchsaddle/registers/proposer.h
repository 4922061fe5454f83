#pragma once

#include <functional>
#include <optional>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Computes the new value from the present one (empty where the register was never written). Returns
 * nothing to leave the register as it is; it is then only read, which is itself confirmed by a
 * quorum. May run several times, so it must have no effects.
 */
using ChangeFunction = std::function<std::optional<std::string>(const std::string& present)>;

/** The end of a change or read. */
struct RegisterOutcome {
  /** Ok; NoQuorum: not known to have taken place, and it may still do so. */
  base::ResultCode code = base::ResultCode::NoQuorum;
  /** The value in force after the operation; only with Ok. */
  std::string value;
  /** Whether this operation's change function wrote `value`. */
  bool changed = false;
};

using RegisterCallback = std::function<void(const RegisterOutcome&)>;

/**
 * Changes and reads registers in two quorum rounds from any core node. Retries with higher ballots
 * after a refusal, with random back-off, until its deadline. Every operation is linearizable.
 */
class RegisterProposer {
 public:
  virtual ~RegisterProposer() = default;
  virtual void change(const std::string& key, ChangeFunction function,
                      RegisterCallback callback) = 0;
  virtual void read(const std::string& key, RegisterCallback callback) = 0;
};

/** Keys of the registers. */
inline constexpr const char* ConfigurationRegister = "configuration";
/** Orders the acceptor sets; its value is an encoded wire::AcceptorSet. */
inline constexpr const char* AcceptorSetRegister = "acceptor-set";
/** Claims have keys "claim/" + tenant + '/' + idempotency key. */
inline constexpr const char* ClaimRegisterPrefix = "claim/";

}  // namespace switchsaddle::registers
