#pragma once

#include <functional>
#include <optional>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/**
 * Computes the new value of a register. Must have no side effects, since it may run several times.
 * @param current the current value; empty if the register was never written.
 * @return the new value, or std::nullopt to leave the register unchanged. The operation is then a
 * read, which is confirmed by a quorum as well.
 */
using ChangeFunction = std::function<std::optional<std::string>(const std::string& current)>;

/** The result of a change or read. */
struct RegisterOutcome {
  /** Ok; NoQuorum: the operation may or may not have taken effect, and may still do so. */
  base::ResultCode code = base::ResultCode::NoQuorum;
  /** The value after the operation; only with Ok. */
  std::string value;
  /** Whether this operation's change function wrote `value`. */
  bool changed = false;
};

using RegisterCallback = std::function<void(const RegisterOutcome&)>;

/**
 * Changes and reads registers in two quorum rounds from any core node. An attempt that is rejected
 * is retried with a higher ballot after a random backoff, until the operation's deadline. Every
 * operation is linearizable.
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
