// A daemon whose machine gives it no more memory than its settings say, and peers that use up all
// that it lets them hold.

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <vector>

#include "switchsaddle/testbed/soak/blocking_socket.h"
#include "tested_daemon.h"

namespace switchsaddle {
namespace {

using testbed::BlockingSocket;
using testbed::ProcessEnd;

const ProcessEnd Orderly = ProcessEnd::exited(0);
constexpr std::size_t MemoryMb = 256;
constexpr std::size_t DataMb = 128;
/** A little more than a daemon that nobody sends anything. */
constexpr std::size_t CutMemoryMb = 48;
constexpr std::size_t BytesPerMebibyte = 1U << 20U;
constexpr int Bodies = 40;
constexpr std::size_t BodyBytes = 4 * BytesPerMebibyte;
constexpr int Frames = 4;
constexpr std::size_t FrameBytes = 30 * BytesPerMebibyte;

/** Sends a message but for its last byte. @return its connection, which stays open. */
BlockingSocket sendUnfinished(const base::NodeAddress& address, const std::string& head,
                              std::size_t bytes) {
  BlockingSocket socket;
  if (socket.connect(address, TestLimit) == testbed::ConnectOutcome::Connected) {
    // The daemon may close the connection to make room for another one.
    socket.write(head) && socket.write(std::string(bytes - 1, '.'));
  }
  return socket;
}

/** Connections whose peers have sent as much as the daemon lets them. */
std::vector<BlockingSocket> useUpMemory(const DaemonSite& site) {
  std::vector<BlockingSocket> sockets;
  const std::string head =
      "POST /v1/configuration/changes HTTP/1.1\r\nHost: test\r\nContent-Length: " +
      std::to_string(BodyBytes) + "\r\n\r\n";
  for (int body = 0; body < Bodies; ++body) {
    sockets.push_back(sendUnfinished(site.httpAddress(), head, BodyBytes));
  }
  const std::string length{static_cast<char>(FrameBytes >> 24U),
                           static_cast<char>(FrameBytes >> 16U),
                           static_cast<char>(FrameBytes >> 8U), static_cast<char>(FrameBytes)};
  for (int frame = 0; frame < Frames; ++frame) {
    sockets.push_back(sendUnfinished(site.peerAddress(), length, FrameBytes));
  }
  return sockets;
}

class DaemonMemoryTest : public testing::TestWithParam<DaemonRole> {
 protected:
  /** Expects it to live though the system lets it have only so much. */
  void expectLife(__rlimit_resource resource, std::size_t limit_mb) {
    TestedDaemon daemon(site_, [resource, limit_mb] {
      const rlimit limit{limit_mb * BytesPerMebibyte, limit_mb * BytesPerMebibyte};
      ::setrlimit(resource, &limit);
    });
    ASSERT_TRUE(daemon.waitForStart());
    {
      const std::vector<BlockingSocket> sockets = useUpMemory(site_);
      EXPECT_TRUE(answers(site_.httpAddress(), "/healthz"));
    }
    EXPECT_TRUE(answers(site_.httpAddress(), "/healthz"));
    EXPECT_EQ(daemon.terminate(), Orderly);
  }

  DaemonSite site_{GetParam()};
};

TEST_P(DaemonMemoryTest, PeersThatUseUpItsAddressSpaceDoNotEndTheDaemon) {
  site_.writeSettings(R"(,"limits":{"memory_mb":)" + std::to_string(MemoryMb) + "}");
  expectLife(RLIMIT_AS, MemoryMb);
}

TEST_P(DaemonMemoryTest, AnAddressSpaceThatTheSettingsDoNotTellIsKeptTo) {
  site_.writeSettings();
  expectLife(RLIMIT_AS, MemoryMb);
}

TEST_P(DaemonMemoryTest, ALimitOfDataThatTheSettingsDoNotTellIsKeptTo) {
  site_.writeSettings();
  expectLife(RLIMIT_DATA, DataMb);
}

TEST_P(DaemonMemoryTest, AnAddressSpaceThatIsCutWhileItRunsDoesNotEndTheDaemon) {
  site_.writeSettings();
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  ASSERT_TRUE(answers(site_.httpAddress(), "/healthz"));
  const rlimit limit{CutMemoryMb * BytesPerMebibyte, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(daemon.process().pid(), RLIMIT_AS, &limit, nullptr), 0);
  // Each of these connections may be closed for lack of memory.
  useUpMemory(site_);
  EXPECT_TRUE(answers(site_.httpAddress(), "/healthz"));
  EXPECT_EQ(daemon.terminate(), Orderly);
}

INSTANTIATE_TEST_SUITE_P(Roles, DaemonMemoryTest,
                         testing::Values(DaemonRole::Front, DaemonRole::Core));

}  // namespace
}  // namespace switchsaddle
