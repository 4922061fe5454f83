#pragma once

#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** How a disk of the test bed behaves at the moment. */
struct DiskFaults {
  /** Each sync of a file or folder takes this long. */
  base::Duration sync_time{};
  /** Every operation waits until this has ended. */
  bool stalled = false;
  /** Writes are refused as on a full disk. */
  bool full = false;

  bool operator==(const DiskFaults&) const = default;
};

/** @return the file that tells the faults of the disk that holds the data folder. */
std::string diskFaultsFile(const std::string& data_folder);

/** @return the faults that the file tells; none if there is no file. */
DiskFaults readDiskFaults(const std::string& file);

/**
 * Replaces the file as a whole, so that no reader sees a part of it.
 * @throws base::Error with StorageFailed.
 */
void writeDiskFaults(const std::string& file, const DiskFaults& faults);

}  // namespace switchsaddle::testbed
