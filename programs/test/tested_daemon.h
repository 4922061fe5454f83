#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/testbed/fleet/child_process.h"
#include "switchsaddle/testbed/fleet/log_pipe.h"

namespace switchsaddle {

/** Longest wait of a test for something that is due; no test depends on how long it takes. */
inline constexpr base::Duration TestLimit = std::chrono::seconds(30);

enum class DaemonRole { Front, Core };

/** The folder, settings and addresses of a daemon that a test starts, also several times. */
class DaemonSite {
 public:
  explicit DaemonSite(DaemonRole role);
  ~DaemonSite();
  DaemonSite(const DaemonSite&) = delete;
  DaemonSite& operator=(const DaemonSite&) = delete;

  const std::string& folder() const { return folder_; }
  std::string settingsFile() const { return folder_ + "/settings.json"; }
  std::string dataFolder() const { return folder_ + "/data"; }
  std::string settingsText() const;
  /** @param more further members of the settings as JSON, each with a comma before it. */
  void writeSettings(const std::string& more = "") const;
  base::NodeAddress peerAddress() const { return {ip_, 7'000}; }
  base::NodeAddress httpAddress() const { return {ip_, 8'000}; }
  base::NodeAddress readinessAddress() const { return {ip_, 8'001}; }
  /** The program of this build with the arguments of this daemon. */
  std::vector<std::string> command() const;

 private:
  DaemonRole role_;
  std::string folder_;
  std::string ip_;
};

/** A daemon that runs as a child of the test, in surroundings that the test chooses. */
class TestedDaemon {
 public:
  /** @param prepare runs in the child before the program. */
  explicit TestedDaemon(
      const DaemonSite& site, const testbed::ChildPreparation& prepare = [] {});

  testbed::LogPipe& log() { return log_; }
  testbed::ChildProcess& process() { return process_; }
  /** @return whether its log says within the limit that it has started. */
  bool waitForStart() { return log_.waitForText("-started", TestLimit); }
  /** Sends SIGTERM. @return how it ended; std::nullopt if it did not. */
  std::optional<testbed::ProcessEnd> terminate();

 private:
  testbed::LogPipe log_;
  testbed::ChildProcess process_;
};

/** @return whether the address accepts connections within the limit. */
bool becomesReachable(const base::NodeAddress& address);

/** @return whether a request to the address gets any response within the limit. */
bool answers(const base::NodeAddress& address, const std::string& target);

}  // namespace switchsaddle
