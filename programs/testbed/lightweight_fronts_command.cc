#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "lightweight_front_shard.h"
#include "switchsaddle/wire/message_name.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr std::uint16_t PeerPort = 7'100;
/** Third octet of the first address: lightweight fronts listen on NETWORK.10.1 and following. */
constexpr std::size_t FirstBlock = 10;
constexpr std::size_t AddressesInBlock = 250;

/** Set by SIGTERM; the run ends after the current second. */
volatile std::sig_atomic_t end_of_run = 0;

/** The command line of `switchsaddle-testbed lightweight-fronts`. */
struct LightweightFrontsArguments {
  std::vector<std::string> seeds;
  std::size_t count = 25;
  std::size_t threads = 1;
  std::string network = "127.52";
  std::vector<std::string> zones{"a"};
  int seconds = 30;
  std::uint64_t seed = 1;
  std::string versions_file;
  std::string kinds_file;
  ShardOptions shard;
};

using Shards = std::vector<std::unique_ptr<LightweightFrontShard>>;

configuration::Settings settingsOf(const LightweightFrontsArguments& arguments, std::size_t index) {
  configuration::Settings settings;
  settings.peer_address.ip = arguments.network + "." +
                             std::to_string(FirstBlock + index / AddressesInBlock) + "." +
                             std::to_string(index % AddressesInBlock + 1);
  settings.peer_address.port = PeerPort;
  settings.zone = arguments.zones[index % arguments.zones.size()];
  for (const std::string& seed : arguments.seeds) {
    settings.seeds.push_back(base::NodeAddress::parse(seed));
  }
  return settings;
}

Shards makeShards(const LightweightFrontsArguments& arguments) {
  Shards shards;
  for (std::size_t index = 0; index < arguments.threads; ++index) {
    shards.push_back(std::make_unique<LightweightFrontShard>(arguments.shard));
  }
  for (std::size_t index = 0; index < arguments.count; ++index) {
    shards[index % shards.size()]->addFront(settingsOf(arguments, index), arguments.seed + index);
  }
  return shards;
}

ShardSample sumOf(const Shards& shards) {
  ShardSample sum;
  sum.lowest_version = std::numeric_limits<std::uint64_t>::max();
  for (const auto& shard : shards) {
    const ShardSample sample = shard->sample();
    sum.serving += sample.serving;
    sum.lowest_version = std::min(sum.lowest_version, sample.lowest_version);
    sum.highest_version = std::max(sum.highest_version, sample.highest_version);
    sum.applications += sample.applications;
    sum.bytes_sent += sample.bytes_sent;
    sum.bytes_received += sample.bytes_received;
    sum.frames_sent += sample.frames_sent;
    sum.frames_received += sample.frames_received;
    sum.slots_granted += sample.slots_granted;
    sum.slots_refused += sample.slots_refused;
  }
  return sum;
}

double secondsOf(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

double residentMegabytes() {
  std::ifstream file("/proc/self/statm");
  double whole = 0;
  double resident = 0;
  file >> whole >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

void printHeader() {
  std::cout << "second,fronts,serving,lowest_version,highest_version,applications,bytes_sent,"
               "bytes_received,frames_sent,frames_received,cpu_user_s,cpu_system_s,rss_mb,"
               "load_average,slots_got,slots_refused\n"
            << std::flush;
}

void printLine(int second, const LightweightFrontsArguments& arguments, const ShardSample& sample) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  double load = 0;
  ::getloadavg(&load, 1);
  std::cout << second << ',' << arguments.count << ',' << sample.serving << ','
            << sample.lowest_version << ',' << sample.highest_version << ',' << sample.applications
            << ',' << sample.bytes_sent << ',' << sample.bytes_received << ',' << sample.frames_sent
            << ',' << sample.frames_received << ',' << secondsOf(usage.ru_utime) << ','
            << secondsOf(usage.ru_stime) << ',' << residentMegabytes() << ',' << load << ','
            << sample.slots_granted << ',' << sample.slots_refused << '\n'
            << std::flush;
}

/** Milliseconds of the boot clock, which all processes on a machine share. */
std::int64_t milliseconds(base::TimePoint time) {
  return base::toMilliseconds(time.time_since_epoch());
}

void writeVersions(const std::string& path, const Shards& shards) {
  std::map<std::uint64_t, lightweight_fronts::VersionTimes> all;
  for (const auto& shard : shards) {
    for (const auto& [version, times] : shard->tally().versions()) {
      lightweight_fronts::VersionTimes& merged =
          all.try_emplace(version, lightweight_fronts::VersionTimes{times.first, times.last, 0})
              .first->second;
      merged.first = std::min(merged.first, times.first);
      merged.last = std::max(merged.last, times.last);
      merged.fronts += times.fronts;
    }
  }
  std::ofstream file(path);
  file << "version,first_ms,last_ms,fronts\n";
  for (const auto& [version, times] : all) {
    file << version << ',' << milliseconds(times.first) << ',' << milliseconds(times.last) << ','
         << times.fronts << '\n';
  }
}

void writeKinds(const std::string& path, const Shards& shards) {
  lightweight_fronts::KindCounts sent{};
  lightweight_fronts::KindCounts received{};
  for (const auto& shard : shards) {
    for (std::size_t kind = 0; kind < sent.size(); ++kind) {
      sent[kind].frames += shard->sent()[kind].frames;
      sent[kind].bytes += shard->sent()[kind].bytes;
      received[kind].frames += shard->received()[kind].frames;
      received[kind].bytes += shard->received()[kind].bytes;
    }
  }
  std::ofstream file(path);
  file << "kind,frames_sent,bytes_sent,frames_received,bytes_received\n";
  for (std::size_t kind = 0; kind < sent.size(); ++kind) {
    if (sent[kind].frames + received[kind].frames > 0) {
      file << wire::messageName(kind) << ',' << sent[kind].frames << ',' << sent[kind].bytes << ','
           << received[kind].frames << ',' << received[kind].bytes << '\n';
    }
  }
}

void runLightweightFronts(const LightweightFrontsArguments& arguments) {
  Shards shards = makeShards(arguments);
  for (const auto& shard : shards) {
    shard->start();
  }
  std::signal(SIGTERM, [](int) { end_of_run = 1; });
  printHeader();
  for (int second = 1; second <= arguments.seconds && end_of_run == 0; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    printLine(second, arguments, sumOf(shards));
  }
  for (const auto& shard : shards) {
    shard->stop();
  }
  if (!arguments.versions_file.empty()) {
    writeVersions(arguments.versions_file, shards);
  }
  if (!arguments.kinds_file.empty()) {
    writeKinds(arguments.kinds_file, shards);
  }
}

}  // namespace

void addLightweightFrontsCommand(CLI::App& app) {
  auto arguments = std::make_shared<LightweightFrontsArguments>();
  CLI::App* command = app.add_subcommand(
      "lightweight-fronts",
      "Run many lightweight fronts, which have no callers, in one process; print CSV");
  command->add_option("--seeds-cores", arguments->seeds, "IP:PORT of the cores to join")
      ->delimiter(',')
      ->required();
  command->add_option("--count", arguments->count, "Number of lightweight fronts (default 25)")
      ->check(CLI::Range(1, 2'000));
  command
      ->add_option("--threads", arguments->threads,
                   "Number of threads that the fronts are distributed over (default 1)")
      ->check(CLI::Range(1, 8));
  command->add_option("--network", arguments->network,
                      "First two octets of the fronts' addresses (default 127.52)");
  command
      ->add_option("--zones", arguments->zones,
                   "Zones, assigned to the fronts in rotation (default a)")
      ->delimiter(',');
  command->add_option("--seconds", arguments->seconds, "Time to run in seconds (default 30)");
  command->add_option("--seed", arguments->seed,
                      "Seed of the first front's random choices (default 1)");
  command->add_option("--prompts", arguments->shard.prompts_per_second,
                      "Simulated completions per second and front (default 0)");
  command->add_option(
      "--versions", arguments->versions_file,
      "CSV file to write with the times at which fronts applied each configuration version "
      "(default: none)");
  command->add_option("--kinds", arguments->kinds_file,
                      "CSV file to write with frames and bytes by message kind (default: none)");
  command->add_flag(
      "--slots", arguments->shard.acquire_slots,
      "Acquire a slot from the limit ledgers for each simulated completion (default: no)");
  command->add_flag("--weigh", arguments->shard.measure_sizes,
                    "Measure message sizes by kind, which costs processor time (default: no)");
  command->callback([arguments] { runLightweightFronts(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
