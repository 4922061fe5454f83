#pragma once

#include <string>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

namespace switchsaddle::registers {

/** What one acceptor keeps of one register. */
struct RegisterState {
  wire::Ballot promised;
  /** Zero where nothing was accepted. */
  wire::Ballot accepted;
  std::string value;
  /** Ballots of the newest proposals the value was built on, oldest first. */
  std::vector<wire::Ballot> lineage;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(promised, accepted, value, lineage);
  }
};

/** The bytes of a register's record. */
std::string encodeRegisterState(const RegisterState& state);
/** Reverses encodeRegisterState(). Throws base::Error with RecordCorrupt. */
RegisterState decodeRegisterState(const std::string& bytes);

/** The bytes of an acceptor set, as a record and as the value of its register. */
std::string encodeAcceptorSet(const wire::AcceptorSet& set);
/** Reverses encodeAcceptorSet(). Throws base::Error with RecordCorrupt. */
wire::AcceptorSet decodeAcceptorSet(const std::string& bytes);

}  // namespace switchsaddle::registers
