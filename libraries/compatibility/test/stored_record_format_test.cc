#include <gtest/gtest.h>

#include "golden_file.h"
#include "register_state.h"
#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/claims/claim_value.h"
#include "switchsaddle/configuration/register_value.h"
#include "value_filler.h"

namespace switchsaddle::compatibility {
namespace {

std::string line(const std::string& name, const std::string& bytes) {
  return name + " " + hexText(bytes) + "\n";
}

TEST(StoredRecordFormatTest, EveryRecordKeepsItsBytes) {
  const std::string text =
      line("register",
           registers::encodeRegisterState(ValueFiller::filled<registers::RegisterState>())) +
      line("removed",
           registers::encodeRemovedRegisters(ValueFiller::filled<registers::RemovedRegisters>())) +
      line("acceptor-set", registers::encodeAcceptorSet(ValueFiller::filled<wire::AcceptorSet>())) +
      line("claim", claims::encodeClaim(ValueFiller::filled<claims::ClaimValue>())) +
      line("claim-key", claims::claimKey("tenant", "key/with:signs")) +
      line("reservations",
           admission::encodeReservations(ValueFiller::filled<admission::ReservationTable>())) +
      line("configuration",
           configuration::encodeRegisterValue(ValueFiller::filled<configuration::RegisterValue>()));
  expectGolden("stored_records.txt", text);
}

}  // namespace
}  // namespace switchsaddle::compatibility
