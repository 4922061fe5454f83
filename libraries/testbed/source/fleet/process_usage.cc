#include "switchsaddle/testbed/fleet/process_usage.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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

constexpr int Hexadecimal = 16;

/** @return the number of a link like "socket:[123]"; empty for other links. */
std::string socketNumber(const std::filesystem::path& descriptor) {
  constexpr std::string_view Prefix = "socket:[";
  std::error_code failure;
  const std::string link = std::filesystem::read_symlink(descriptor, failure).string();
  return link.starts_with(Prefix) ? link.substr(Prefix.size(), link.size() - Prefix.size() - 1)
                                  : std::string();
}

std::size_t hexadecimal(std::string_view text) {
  std::size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, Hexadecimal);
  return value;
}

// A listener's queue counts connections.
constexpr const char* ListeningState = "0A";
/** The number of a socket that no process has yet, or has any more. */
constexpr const char* NoSocketNumber = "0";

/** A line of /proc/net/tcp. */
struct SocketLine {
  std::string local;
  std::string state;
  /** Bytes that were not acknowledged, a colon, and bytes that were not read. */
  std::string queues;
  std::string number;

  bool isListener() const { return state == ListeningState; }
};

std::vector<SocketLine> readSocketLines() {
  std::ifstream table("/proc/net/tcp");
  std::string skipped;
  std::getline(table, skipped);
  std::vector<SocketLine> lines;
  SocketLine line;
  std::string slot;
  std::string remote;
  std::string timer;
  std::string retransmits;
  std::string user;
  std::string timeout;
  while (table >> slot >> line.local >> remote >> line.state >> line.queues >> timer >>
         retransmits >> user >> timeout >> line.number) {
    std::getline(table, skipped);
    lines.push_back(line);
  }
  return lines;
}

/** Sums the queues of the sockets with these numbers, and of connections that wait for one of them
 * to accept them. */
void readQueues(const std::set<std::string>& sockets, ProcessUsage& usage) {
  const std::vector<SocketLine> lines = readSocketLines();
  std::set<std::string> listening;
  for (const SocketLine& line : lines) {
    if (line.isListener() && sockets.contains(line.number)) {
      listening.insert(line.local);
    }
  }
  for (const SocketLine& line : lines) {
    const bool is_waiting = line.number == NoSocketNumber && listening.contains(line.local);
    if (!line.isListener() && (is_waiting || sockets.contains(line.number))) {
      const std::size_t colon = line.queues.find(':');
      usage.unsent_bytes += hexadecimal(std::string_view(line.queues).substr(0, colon));
      usage.unread_bytes += hexadecimal(std::string_view(line.queues).substr(colon + 1));
    }
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
  std::set<std::string> sockets;
  for (const std::filesystem::directory_entry& descriptor : descriptors) {
    ++usage.descriptors;
    sockets.insert(socketNumber(descriptor.path()));
  }
  sockets.erase("");
  readQueues(sockets, usage);
  return usage;
}

}  // namespace switchsaddle::testbed
