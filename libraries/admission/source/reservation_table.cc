#include "switchsaddle/admission/reservation_table.h"

#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::admission {

std::string encodeReservations(const ReservationTable& table) {
  return wire::writeRecord(table.term, table.reserved);
}

ReservationTable decodeReservations(const std::string& bytes) {
  ReservationTable table;
  if (!bytes.empty()) {
    wire::readRecord(bytes, table.term, table.reserved);
  }
  return table;
}

}  // namespace switchsaddle::admission
