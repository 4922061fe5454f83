#pragma once

/**
 * @file
 * Keys of an acceptor's records in its store.
 */

namespace switchsaddle::registers {

inline constexpr const char* AcceptorSetRecord = "acceptor-set";
/** Followed by the register's key. */
inline constexpr const char* RegisterRecordPrefix = "register/";
inline constexpr const char* RemovedRegistersRecord = "removed-registers";

}  // namespace switchsaddle::registers
