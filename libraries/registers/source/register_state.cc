#include "register_state.h"

#include "switchsaddle/base/error.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::registers {

std::string encodeRegisterState(const RegisterState& state) {
  return wire::writeRecord(state);
}

RegisterState decodeRegisterState(const std::string& bytes) {
  RegisterState state;
  try {
    wire::readRecord(bytes, state);
  } catch (const base::Error&) {
    // A record of an earlier release, which ends before `accepted_at_s`.
    state = {};
    wire::readRecord(bytes, state.promised, state.accepted, state.value, state.lineage);
  }
  return state;
}

std::string encodeRemovedRegisters(const RemovedRegisters& removed) {
  return wire::writeRecord(removed);
}

RemovedRegisters decodeRemovedRegisters(const std::string& bytes) {
  RemovedRegisters removed;
  wire::readRecord(bytes, removed);
  return removed;
}

std::string encodeAcceptorSet(const wire::AcceptorSet& set) {
  return wire::writeRecord(set);
}

wire::AcceptorSet decodeAcceptorSet(const std::string& bytes) {
  wire::AcceptorSet set;
  wire::readRecord(bytes, set);
  return set;
}

}  // namespace switchsaddle::registers
