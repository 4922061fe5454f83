#include "tested_daemon.h"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "switchsaddle/testbed/soak/blocking_socket.h"
#include "switchsaddle/testbed/soak/message_reader.h"

namespace switchsaddle {
namespace {

namespace files = std::filesystem;

/** Networks 127.50 to 127.89, by process id, so that several runs on one machine do not meet. */
constexpr int FirstNetwork = 50;
constexpr int Networks = 40;
constexpr int SubnetsOfNetwork = 250;

std::string newAddress() {
  static std::atomic<int> count = 0;
  const int pid = ::getpid();
  return "127." + std::to_string(FirstNetwork + pid % Networks) + "." +
         std::to_string(pid / Networks % SubnetsOfNetwork) + "." + std::to_string(++count);
}

std::string newFolder() {
  std::string pattern = files::temp_directory_path().string() + "/daemon-test-XXXXXX";
  return ::mkdtemp(pattern.data());
}

}  // namespace

DaemonSite::DaemonSite(DaemonRole role) : role_(role), folder_(newFolder()), ip_(newAddress()) {}

DaemonSite::~DaemonSite() {
  std::error_code ignored;
  files::remove_all(folder_, ignored);
}

std::string DaemonSite::settingsText() const {
  const std::string addresses = R"("peer_address":")" + peerAddress().toString() +
                                R"(","http_address":")" + httpAddress().toString() + '"';
  const std::string common = R"(,"zone":"a","seeds":["127.49.0.1:7000"])";
  const std::string own = role_ == DaemonRole::Front
                              ? R"(,"readiness_address":")" + readinessAddress().toString() + '"'
                              : R"(,"data_folder":")" + dataFolder() + '"';
  return "{" + addresses + common + own + "}\n";
}

void DaemonSite::writeSettings(const std::string& more) const {
  std::string text = settingsText();
  text.insert(text.rfind('}'), more);
  std::ofstream(settingsFile()) << text;
}

std::vector<std::string> DaemonSite::command() const {
  const files::path tests = files::read_symlink("/proc/self/exe").parent_path();
  return {(tests / "switchsaddle").string(), role_ == DaemonRole::Front ? "front" : "core",
          "--settings", settingsFile()};
}

TestedDaemon::TestedDaemon(const DaemonSite& site, const testbed::ChildPreparation& prepare)
    : process_(site.command(), [this, &prepare] {
        log_.becomeOutput();
        prepare();
      }) {
  log_.closeWriter();
}

std::optional<testbed::ProcessEnd> TestedDaemon::terminate() {
  process_.signal(SIGTERM);
  return process_.waitForEnd(TestLimit);
}

bool becomesReachable(const base::NodeAddress& address) {
  const auto deadline = testbed::BlockingSocket::Clock::now() + TestLimit;
  while (testbed::BlockingSocket::Clock::now() < deadline) {
    testbed::BlockingSocket socket;
    if (socket.connect(address, TestLimit) == testbed::ConnectOutcome::Connected) {
      return true;
    }
  }
  return false;
}

bool answers(const base::NodeAddress& address, const std::string& target) {
  testbed::BlockingSocket socket;
  if (socket.connect(address, TestLimit) != testbed::ConnectOutcome::Connected ||
      !socket.write("GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n")) {
    return false;
  }
  testbed::MessageReader reader(socket);
  testbed::WireMessage answer;
  const auto deadline = testbed::BlockingSocket::Clock::now() + TestLimit;
  return reader.read(answer, deadline) == testbed::MessageOutcome::Complete;
}

}  // namespace switchsaddle
