#include "switchsaddle/testbed/soak/wire_client.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "switchsaddle/testbed/crowd/answer_script.h"
#include "switchsaddle/testbed/soak/wire_text.h"
#include "switchsaddle/testbed/soak/wire_worker.h"

namespace switchsaddle::testbed {
namespace {

constexpr base::Duration Limit = std::chrono::seconds(20);

/** A client that sends straight to a worker. */
class WireClientTest : public testing::Test {
 protected:
  WireClient clientOf(const WireWorker& worker) {
    WireClientOptions options;
    options.fronts = {{"worker", worker.address()}};
    options.host = "soak.example";
    return {options, ledger};
  }
  static WireWorkerOptions workerOptions(bool faulty) {
    WireWorkerOptions options;
    options.name = "worker";
    options.address = {"127.0.0.1", 0};
    options.faulty = faulty;
    return options;
  }

  RunLedger ledger{false};
  Interruption interruption;
};

TEST_F(WireClientTest, SoundWorkerRunsEachWorkOnce) {
  WireWorker worker(workerOptions(false), ledger);
  WireClient client = clientOf(worker);
  for (int count = 0; count < 10; ++count) {
    client.sendWork(interruption);
  }
  EXPECT_TRUE(ledger.violations().empty());
  EXPECT_EQ(ledger.summary(), "10 works, 10 runs, 0 changes; attempts: 200=10");
}

TEST_F(WireClientTest, ReconnectsAfterTheWorkerHasRestarted) {
  WireWorker worker(workerOptions(false), ledger);
  WireClient client = clientOf(worker);
  client.sendWork(interruption);
  const std::string first = worker.id();
  worker.restart({});
  EXPECT_NE(worker.id(), first);
  client.sendWork(interruption);
  client.sendWork(interruption);
  EXPECT_TRUE(ledger.violations().empty());
}

TEST_F(WireClientTest, TakesSurplusResponsesOfAFaultyWorkerAsForeign) {
  WireWorker worker(workerOptions(true), ledger);
  WireClient client = clientOf(worker);
  for (int count = 0; count < 30; ++count) {
    client.sendWork(interruption);
  }
  // Without a front in between, surplus responses reach the client.
  EXPECT_FALSE(ledger.violations().empty());
}

TEST_F(WireClientTest, ARestartOfTheWorkerDoesNotCompleteAnAnswerWithoutLength) {
  WireWorker worker(workerOptions(false), ledger);
  BlockingSocket socket;
  ASSERT_EQ(socket.connect(worker.address(), Limit), ConnectOutcome::Connected);
  ASSERT_TRUE(socket.write(postText("/once/", "", answerRequest("until-close"))));
  const auto deadline = BlockingSocket::Clock::now() + Limit;
  std::string answer;
  ASSERT_EQ(socket.read(answer, deadline), ReadOutcome::Bytes);
  std::thread restart([&worker] { worker.restart({}); });
  ReadOutcome last = ReadOutcome::Bytes;
  while (last == ReadOutcome::Bytes) {
    last = socket.read(answer, deadline);
  }
  restart.join();
  EXPECT_EQ(last, ReadOutcome::Reset);
}

}  // namespace
}  // namespace switchsaddle::testbed
