// Sessions during a change of the acceptor set: majorities of the two sets need not intersect, so a
// session granted by one may be missing from a read by the other.

#include <gtest/gtest.h>

#include <array>
#include <optional>

#include "session_fleet.h"

namespace switchsaddle::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A view whose acceptor set the test changes. */
class ChangingView : public CoreView {
 public:
  std::vector<base::NodeAddress> coreAddresses() const override { return members; }
  bool quorum(const std::set<base::NodeAddress>& answered) const override {
    std::size_t count = 0;
    for (const base::NodeAddress& member : members) {
      count += answered.contains(member) ? 1 : 0;
    }
    return count * 2 > members.size();
  }
  std::uint64_t acceptedVersion() const override { return 1; }
  bool mayVote() const override { return votes; }
  std::uint64_t setEpoch() const override { return epoch; }
  bool joining() const override { return is_joining; }

  std::vector<base::NodeAddress> members;
  std::uint64_t epoch = 1;
  bool votes = true;
  bool is_joining = false;
};

/** Six cores, of which the sixth replaces the fifth. */
class SessionTableEpochTest : public testing::Test {
 protected:
  static constexpr std::size_t Leaving = 4;
  static constexpr std::size_t Joining = 5;
  static constexpr std::size_t CoreCount = 6;
  static constexpr std::uint64_t FinalEpoch = 3;

  void start(SessionTableFaults faults) {
    for (std::size_t index = 0; index < CoreCount; ++index) {
      Core& core = cores_[index];
      core.address = {"127.0.0." + std::to_string(index + 1), 7000};
      core.view.members = members(Joining);
      core.view.votes = index != Joining;
      core.process.start();
      core.transport = network_.attach(core.address, core.process);
      core.calls = std::make_unique<transport::PeerCalls>(core.process, *core.transport);
      core.journal = std::make_unique<journal::Journal>(core.process);
      core.table = std::make_unique<SessionTable>(core.process, *core.calls, *core.journal,
                                                  SessionTimes{}, core.view, faults);
    }
    client_process_.start();
    client_transport_ = network_.attach(client_, client_process_);
    client_ = client_transport_->localAddress();
    client_calls_ = std::make_unique<transport::PeerCalls>(client_process_, *client_transport_);
    world_.runFor(seconds(2));
  }

  /** @return the members of the set without one of the six. */
  std::vector<base::NodeAddress> members(std::size_t excluded) const {
    std::vector<base::NodeAddress> addresses;
    for (std::size_t index = 0; index < CoreCount; ++index) {
      if (index != excluded) {
        addresses.push_back({"127.0.0." + std::to_string(index + 1), 7000});
      }
    }
    return addresses;
  }

  void adoptFinalSet(std::size_t index) {
    cores_[index].view.members = members(Leaving);
    cores_[index].view.epoch = FinalEpoch;
    cores_[index].view.votes = true;
  }

  bool open(std::size_t core) {
    bool granted = false;
    const wire::SessionRecord record{client_, 1, 1, 1, 0, "z", false};
    client_calls_->call(cores_[core].address, wire::SessionOpenRequest{record}, milliseconds(100),
                        [&](const transport::CallResult& result) {
                          const auto* reply = result.as<wire::SessionOpenReply>();
                          granted = reply != nullptr && reply->granted;
                        });
    world_.runFor(milliseconds(200));
    return granted;
  }

  /** @return the number of sessions in a read; std::nullopt if no majority answers. */
  std::optional<std::size_t> read(std::size_t core) {
    std::optional<std::size_t> found;
    bool ended = false;
    cores_[core].table->readLive([&](base::ResultCode code, const auto& live) {
      ended = true;
      if (code == base::ResultCode::Ok) {
        found = live.size();
      }
    });
    world_.runUntil([&] { return ended; }, seconds(5));
    return found;
  }

  /** Cores 3 and 4 do not adopt the final set. Of the cores that do, they reach only core 2. */
  void partitionSets() {
    for (const std::size_t index : {std::size_t{0}, std::size_t{1}, std::size_t{2}, Joining}) {
      adoptFinalSet(index);
    }
    world_.runFor(seconds(2));
    for (const std::size_t stale : {std::size_t{3}, Leaving}) {
      for (const std::size_t fresh : {std::size_t{0}, std::size_t{1}, Joining}) {
        network_.cut(cores_[stale].address, cores_[fresh].address);
      }
    }
    network_.cut(cores_[2].address, cores_[Joining].address);
  }

  struct Core {
    explicit Core(simulation::World& world) : process(world) {}
    base::NodeAddress address;
    ChangingView view;
    simulation::Process process;
    std::unique_ptr<transport::Transport> transport;
    std::unique_ptr<transport::PeerCalls> calls;
    std::unique_ptr<journal::Journal> journal;
    std::unique_ptr<SessionTable> table;
  };

  simulation::World world_{7};
  simulation::Network network_{world_};
  std::array<Core, CoreCount> cores_{Core(world_), Core(world_), Core(world_),
                                     Core(world_), Core(world_), Core(world_)};
  base::NodeAddress client_{"127.0.0.9", 7000};
  simulation::Process client_process_{world_};
  std::unique_ptr<transport::Transport> client_transport_;
  std::unique_ptr<transport::PeerCalls> client_calls_;
};

TEST_F(SessionTableEpochTest, CoreOfThePreviousSetGrantsNoSessionThatAReadMisses) {
  start({});
  partitionSets();
  EXPECT_FALSE(open(Leaving));
  EXPECT_EQ(read(Joining), std::optional<std::size_t>(0));
}

TEST_F(SessionTableEpochTest, DetectsAGrantWithoutEpochThatAReadMisses) {
  SessionTableFaults faults;
  faults.ignore_epoch = true;
  start(faults);
  partitionSets();
  EXPECT_TRUE(open(Leaving));
  EXPECT_EQ(read(Joining), std::optional<std::size_t>(0));
}

TEST_F(SessionTableEpochTest, JoiningCoreCountsInReadsOneCoreLimitAfterItsSetWasCommitted) {
  start({});
  for (std::size_t index = 0; index < CoreCount; ++index) {
    adoptFinalSet(index);
  }
  cores_[Joining].view.is_joining = true;
  world_.runFor(SessionTimes{}.core_limit * 2);
  EXPECT_TRUE(cores_[Joining].table->recovering());
  cores_[Joining].view.is_joining = false;
  EXPECT_TRUE(cores_[Joining].table->recovering());
  world_.runFor(SessionTimes{}.core_limit);
  EXPECT_FALSE(cores_[Joining].table->recovering());
  EXPECT_FALSE(cores_[0].table->recovering());
}

}  // namespace
}  // namespace switchsaddle::sessions
