#include "switchsaddle/testbed/fleet/process_usage.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "switchsaddle/testbed/soak/blocking_socket.h"

namespace switchsaddle::testbed {
namespace {

constexpr base::Duration ConnectLimit = std::chrono::seconds(20);
constexpr std::size_t SentBytes = 10'000;

ProcessIdentity thisProcess() {
  constexpr int FieldsBeforeStart = 19;
  std::ifstream file("/proc/self/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < FieldsBeforeStart; ++field) {
    fields >> skipped;
  }
  ProcessIdentity identity{::getpid(), 0};
  fields >> identity.start_ticks;
  return identity;
}

std::size_t unreadBytes() {
  return usageOf(thisProcess()).value().unread_bytes;
}

class ProcessUsageTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(client_.connect(listener_.address(), ConnectLimit), ConnectOutcome::Connected);
    ASSERT_TRUE(client_.write(std::string(SentBytes, 'b')));
  }

  BlockingListener listener_{{"127.0.0.1", 0}};
  BlockingSocket client_;
};

TEST_F(ProcessUsageTest, CountsWhatHasArrivedForAConnectionThatIsNotAcceptedYet) {
  EXPECT_GE(unreadBytes(), SentBytes);
}

TEST_F(ProcessUsageTest, CountsWhatHasArrivedBeforeThePeerClosedItsConnection) {
  const std::optional<BlockingSocket> accepted = listener_.accept(ConnectLimit);
  ASSERT_TRUE(accepted);
  client_ = BlockingSocket();
  EXPECT_GE(unreadBytes(), SentBytes);
}

}  // namespace
}  // namespace switchsaddle::testbed
