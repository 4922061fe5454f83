#include "register_state.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::registers {

namespace {

template <class Type>
std::string encodeRecord(const Type& item) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(item);
  }
  return std::move(stream).str();
}

template <class Type>
Type decodeRecord(const std::string& bytes) {
  Type item;
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    archive(item);
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::RecordCorrupt, exception.what());
  }
  return item;
}

}  // namespace

std::string encodeRegisterState(const RegisterState& state) {
  return encodeRecord(state);
}

RegisterState decodeRegisterState(const std::string& bytes) {
  return decodeRecord<RegisterState>(bytes);
}

std::string encodeAcceptorSet(const wire::AcceptorSet& set) {
  return encodeRecord(set);
}

wire::AcceptorSet decodeAcceptorSet(const std::string& bytes) {
  return decodeRecord<wire::AcceptorSet>(bytes);
}

}  // namespace switchsaddle::registers
