#include "switchsaddle/testbed/disk/disk_faults.h"

#include <filesystem>
#include <fstream>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {

std::string diskFaultsFile(const std::string& data_folder) {
  return data_folder + ".faults";
}

DiskFaults readDiskFaults(const std::string& file) {
  std::ifstream text(file);
  std::int64_t sync_ms = 0;
  DiskFaults faults;
  if (!(text >> sync_ms >> faults.stalled >> faults.full)) {
    return {};
  }
  faults.sync_time = std::chrono::milliseconds(sync_ms);
  return faults;
}

void writeDiskFaults(const std::string& file, const DiskFaults& faults) {
  const std::string temporary_file = file + ".new";
  std::ofstream text(temporary_file, std::ios::trunc);
  text << base::toMilliseconds(faults.sync_time) << ' ' << faults.stalled << ' ' << faults.full
       << '\n';
  text.close();
  if (!text) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot write " + temporary_file);
  }
  std::filesystem::rename(temporary_file, file);
}

}  // namespace switchsaddle::testbed
