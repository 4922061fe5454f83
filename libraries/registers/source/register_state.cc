#include "register_state.h"

#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::registers {

std::string encodeRegisterState(const RegisterState& state) {
  return wire::writeRecord(state);
}

RegisterState decodeRegisterState(const std::string& bytes) {
  RegisterState state;
  wire::readRecord(bytes, state);
  return state;
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
