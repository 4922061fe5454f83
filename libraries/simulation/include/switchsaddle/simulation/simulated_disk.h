#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/storage/file_system.h"

namespace switchsaddle::simulation {

/** Thrown through the disk work of a process which is killed, or loses its power, in the middle of
 * it. Not a std::exception, so that no error handling takes it for a fault of the disk. */
struct DiskInterrupted {};

/** The operations of a disk that change it. */
enum class DiskOperation { CreateFolder, Write, SyncFile, SyncFolder, Rename, Remove };

/**
 * A disk in memory which outlives the processes that use it. At powerLoss() it keeps what was
 * synced; of what was not, each file and folder keeps the old state, the new one or a torn one, as
 * the seed has it. Faults are injected by operation number, counted over all kinds or within one.
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

  /** The n-th operation of the kind from now on, counted from 1, fails once. A failed sync loses
   * what it should have made durable: a later sync of it does nothing until it is written anew. */
  void failOnce(DiskOperation kind, std::uint64_t nth,
                base::ResultCode code = base::ResultCode::StorageFailed);
  /** Takes back what failOnce() and tearWrite() have injected and is still due. */
  void clearFaults();
  /** The n-th operation from now on, counted from 1, and all after it throw DiskInterrupted; a
   * write is done in part. Follow it with powerLoss() or, for a killed process, resume(). */
  void interruptAt(std::uint64_t nth) { interrupt_at_ = operations_ + nth; }
  /** The n-th write from now on, counted from 1, stores half of its bytes and reports success. */
  void tearWrite(std::uint64_t nth);
  /** While set, each write and each creation of a folder fails with StorageFull. */
  void setFull(bool full) { full_ = full; }
  /** Drops what was not synced, and takes operations again. */
  void powerLoss();
  /** Takes operations again with all that was written, as after the death of a process only. */
  void resume();
  /** True from the operation given to interruptAt() until powerLoss() or resume(). */
  bool interrupted() const { return interrupted_; }
  /** Inverts the bits of one byte, also on the platter. */
  void flipByte(const std::string& path, std::size_t offset);
  /** Cuts a file, also on the platter. */
  void truncate(const std::string& path, std::size_t length);
  /** Removes everything, as an exchange of the disk does. */
  void wipe();
  /** Operations that change the disk since it was made. */
  std::uint64_t operations() const { return operations_; }
  std::uint64_t operations(DiskOperation kind) const { return counts_[index(kind)]; }

 private:
  static constexpr std::size_t KindCount = 6;
  /** One file, whatever its names. */
  struct File {
    std::string bytes;
    std::string durable;
    /** A sync of it failed, and it has not been written since. */
    bool sync_lost = false;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  struct Fault {
    std::uint64_t at;
    base::ResultCode code;
  };

  static std::size_t index(DiskOperation kind) { return static_cast<std::size_t>(kind); }
  /** Counts an operation; true where it is the one to be interrupted. */
  bool count(DiskOperation kind);
  /** Counts an operation and throws what is injected for it. */
  void begin(DiskOperation kind);
  void throwFault(DiskOperation kind);
  bool faultDue(DiskOperation kind) const;
  std::shared_ptr<File> find(const std::string& path) const;
  void requireFolder(const std::string& path) const;
  void loseUnsynced(File& file);
  void loseUnsyncedNames(const std::string& folder);

  base::RandomSource random_;
  Names live_;
  Names durable_;
  /** The root is the empty path. */
  std::set<std::string> live_folders_{""};
  std::set<std::string> durable_folders_{""};
  std::set<std::string> folders_sync_lost_;
  std::array<std::uint64_t, KindCount> counts_{};
  std::array<std::optional<Fault>, KindCount> faults_{};
  std::optional<std::uint64_t> interrupt_at_;
  std::optional<std::uint64_t> tear_at_;
  std::uint64_t operations_ = 0;
  bool interrupted_ = false;
  bool full_ = false;
};

}  // namespace switchsaddle::simulation
