#include "switchsaddle/testbed/fleet/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace switchsaddle::testbed {

namespace {

constexpr std::size_t BytesPerKibibyte = 1'024;

/** Reads the fields VmHWM and VmRSS, which the kernel gives in KiB. */
void readMemory(const std::filesystem::path& folder, ProcessUsage& usage) {
  std::ifstream status(folder / "status");
  std::string name;
  std::string rest;
  while (status >> name) {
    std::size_t kibibytes = 0;
    if (name == "VmHWM:" && status >> kibibytes) {
      usage.peak_memory_bytes = kibibytes * BytesPerKibibyte;
    } else if (name == "VmRSS:" && status >> kibibytes) {
      usage.memory_bytes = kibibytes * BytesPerKibibyte;
    }
    std::getline(status, rest);
  }
}

}  // namespace

std::optional<ProcessUsage> usageOf(const ProcessIdentity& process) {
  if (conditionOf(process) == ProcessCondition::Exited) {
    return std::nullopt;
  }
  const std::filesystem::path folder = "/proc/" + std::to_string(process.pid);
  ProcessUsage usage;
  readMemory(folder, usage);
  std::error_code failure;
  const std::filesystem::directory_iterator descriptors(folder / "fd", failure);
  if (failure || usage.peak_memory_bytes == 0) {
    return std::nullopt;
  }
  usage.descriptors = static_cast<std::size_t>(std::distance(begin(descriptors), {}));
  return usage;
}

}  // namespace switchsaddle::testbed
