#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/simulation/disk_fault_injector.h"
#include "switchsaddle/storage/file_system.h"

namespace switchsaddle::simulation {

/**
 * A file system in memory that outlives the processes that use it. powerLoss() retains what was
 * synced; each file and folder that was not synced keeps its old state, its new state or a torn
 * one, as drawn from the seed. Faults are injected by operation number, over all operations or
 * within one kind.
 */
class SimulatedDisk : public storage::FileSystem {
 public:
  explicit SimulatedDisk(std::uint64_t seed) : random_(seed) {}

  void createFolder(const std::string& path) override;
  std::vector<std::string> list(const std::string& folder) override;
  std::string read(const std::string& path) override;
  void write(const std::string& path, const std::string& bytes) override;
  void syncFile(const std::string& path) override;
  void syncFolder(const std::string& path) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& path) override;

  /** The nth operation of the kind from now on, counted from 1, fails once. A failed sync loses the
   * data it should have made durable: a later sync has no effect until the data is written again.
   */
  void failOnce(DiskOperation kind, std::uint64_t nth,
                base::ResultCode code = base::ResultCode::StorageFailed);
  /** Removes pending faults of failOnce() and tearWrite(). */
  void clearFaults() { faults_.clear(); }
  /** The nth operation from now on, counted from 1, and all after it throw DiskInterrupted; a write
   * is done partially. To be followed by powerLoss() or, for a killed process, resume(). */
  void interruptAt(std::uint64_t nth) { faults_.interruptAt(nth); }
  /** The nth write from now on, counted from 1, stores half of its bytes and reports success. */
  void tearWrite(std::uint64_t nth) { faults_.tearWrite(nth); }
  /** While set, each write and each creation of a folder fails with StorageFull. */
  void setFull(bool full) { full_ = full; }
  /** Drops what was not synced, and accepts operations again. */
  void powerLoss();
  /** Accepts operations again with all that was written, as after a process was killed. */
  void resume() { faults_.resume(); }
  /** Whether the operation of interruptAt() has been reached, until powerLoss() or resume(). */
  bool interrupted() const { return faults_.interrupted(); }
  /** Inverts the bits of one byte, also of the durable state. */
  void flipByte(const std::string& path, std::size_t offset);
  /** Truncates a file, also its durable state. */
  void truncate(const std::string& path, std::size_t length);
  /** Removes everything, as a replacement of the disk does. */
  void wipe();
  /** @return the number of operations that change the disk since it was created. */
  std::uint64_t operations() const { return faults_.operations(); }
  std::uint64_t operations(DiskOperation kind) const { return faults_.operations(kind); }

 private:
  /** One file, whatever its names. */
  struct File {
    std::string bytes;
    std::string durable;
    /** A sync of it failed, and it has not been written since. */
    bool sync_lost = false;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  std::shared_ptr<File> find(const std::string& path) const;
  void requireFolder(const std::string& path) const;
  /** Makes the names of a folder durable as they are. */
  void persistNames(const std::string& folder);
  void loseUnsynced(File& file);
  void loseUnsyncedNames(const std::string& folder);

  base::RandomSource random_;
  DiskFaultInjector faults_;
  Names live_;
  Names durable_;
  /** The root is the empty path. */
  std::set<std::string> live_folders_{""};
  std::set<std::string> durable_folders_{""};
  std::set<std::string> folders_sync_lost_;
  bool full_ = false;
};

}  // namespace switchsaddle::simulation
