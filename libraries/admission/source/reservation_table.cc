#include "switchsaddle/admission/reservation_table.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

#include "switchsaddle/base/error.h"

namespace switchsaddle::admission {

std::string encodeReservations(const ReservationTable& table) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(table.term, table.reserved);
  }
  return std::move(stream).str();
}

ReservationTable decodeReservations(const std::string& bytes) {
  ReservationTable table;
  if (bytes.empty()) {
    return table;
  }
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    archive(table.term, table.reserved);
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::RecordCorrupt, exception.what());
  }
  return table;
}

}  // namespace switchsaddle::admission
