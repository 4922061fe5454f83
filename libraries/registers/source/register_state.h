#pragma once

#include <string>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * The stored records of an acceptor. The order of the fields is the stored format. The functions
 * that decode throw base::Error with RecordCorrupt.
 */

namespace switchsaddle::registers {

/** The state of one register at one acceptor. */
struct RegisterState {
  wire::Ballot promised;
  /** Zero if no value was accepted. */
  wire::Ballot accepted;
  std::string value;
  /** Ballots of the newest proposals the value was built on, oldest first. */
  std::vector<wire::Ballot> lineage;
  /** The acceptor's running time in seconds when the value was accepted or, without a value, when
   * the register was first prepared. Zero in records of earlier releases. */
  std::uint64_t accepted_at_s = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(promised, accepted, value, lineage, accepted_at_s);
  }
};

/** The state that an acceptor keeps for all registers it has removed. */
struct RemovedRegisters {
  /** Highest ballot promised for a register that was removed here. */
  wire::Ballot floor;
  /** Highest floor of the acceptors from which this one copied its registers when it joined. */
  wire::Ballot inherited_floor;
  /** Running time of this acceptor in seconds, over all its incarnations. */
  std::uint64_t running_s = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(floor, inherited_floor, running_s);
  }
};

std::string encodeRegisterState(const RegisterState& state);
RegisterState decodeRegisterState(const std::string& bytes);

std::string encodeRemovedRegisters(const RemovedRegisters& removed);
RemovedRegisters decodeRemovedRegisters(const std::string& bytes);

/** The bytes of an acceptor set, both as a record and as the value of its register. */
std::string encodeAcceptorSet(const wire::AcceptorSet& set);
wire::AcceptorSet decodeAcceptorSet(const std::string& bytes);

}  // namespace switchsaddle::registers
