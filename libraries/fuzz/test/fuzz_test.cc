#include <gtest/gtest.h>

#include "source_directory.h"
#include "switchsaddle/allocation_tracker/allocation_tracker.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/fuzz/mutator.h"
#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {
namespace {

constexpr const char* CorpusFolder = SWITCHSADDLE_SOURCE_DIR "/libraries/fuzz/corpus";
/** Number of inputs of each target in one run of this test. */
constexpr std::size_t Executions = 4'000;
constexpr std::size_t HttpExecutions = 300;
constexpr std::uint64_t Seed = 20'261'202;
/** Largest allocation allowed, in bytes: more than any parser needs for an input of at most 64 KiB,
 * and far less than a forged length would request. */
constexpr std::size_t MaxAllocationBytes = 16U << 20U;

std::string printable(const std::string& input) {
  std::string text;
  for (const char character : input.substr(0, 400)) {
    const bool plain = character >= ' ' && character <= '~';
    text += plain ? std::string(1, character)
                  : "\\" + std::to_string(static_cast<unsigned char>(character)) + ";";
  }
  return text;
}

class FuzzTest : public testing::TestWithParam<std::string> {
 protected:
  static Target target() {
    for (Target& target : allTargets(CorpusFolder)) {
      if (target.name == GetParam()) {
        return std::move(target);
      }
    }
    throw std::logic_error("unknown target: " + GetParam());
  }
};

TEST_P(FuzzTest, AcceptsOrRejectsEveryInputWithinBoundedMemory) {
  const Target tested = target();
  const std::size_t executions = GetParam().starts_with("http-") ? HttpExecutions : Executions;
  allocation_tracker::resetLargestAllocation();
  const FuzzReport report =
      runTarget(tested, Seed, [&](std::size_t done) { return done < executions; });
  EXPECT_EQ(report.executions, executions);
  for (const auto& [input, what] : report.faults) {
    ADD_FAILURE() << what << " for: " << printable(input);
  }
  EXPECT_LT(allocation_tracker::largestAllocation(), MaxAllocationBytes);
}

INSTANTIATE_TEST_SUITE_P(Readers, FuzzTest,
                         testing::Values("completion", "one-shot", "change", "key-request",
                                         "settings", "configuration", "beliefs", "event-stream",
                                         "worker-head", "platform-list", "message",
                                         "register-value", "reservations", "claim", "acceptor-set",
                                         "http-server", "http-client"),
                         [](const auto& reader) {
                           std::string name = reader.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(FuzzCorpusTest, ListsEveryTarget) {
  EXPECT_EQ(allTargets(CorpusFolder).size(), 17U);
}

TEST(FuzzCorpusTest, RunsEveryCorpusInputWithoutAnException) {
  for (const Target& target : allTargets(CorpusFolder)) {
    for (const std::string& input : target.corpus) {
      EXPECT_NO_THROW(target.run(input)) << target.name << ": " << printable(input);
    }
  }
}

TEST(MutatorTest, InputsDependOnlyOnTheSeed) {
  const std::vector<std::string> corpus{"{\"model\":\"m\"}", "{}"};
  const auto inputs = [&](std::uint64_t seed) {
    Mutator mutator(seed);
    std::string all;
    for (int number = 0; number < 50; ++number) {
      all += mutator.next(corpus) + '\n';
    }
    return all;
  };
  EXPECT_EQ(inputs(1), inputs(1));
  EXPECT_NE(inputs(1), inputs(2));
}

TEST(RunnerTest, ReportsExceptionsOtherThanRejections) {
  const Target target{"bad", {"a"}, [](const std::string& input) {
                        if (input.empty()) {
                          throw base::Error(base::ResultCode::InvalidValue, "empty");
                        }
                        throw std::out_of_range("beyond the end");
                      }};
  const FuzzReport report = runTarget(target, 1, [](std::size_t done) { return done < 10; });
  EXPECT_EQ(report.executions, 10U);
  ASSERT_FALSE(report.faults.empty());
  EXPECT_EQ(report.faults.front().second, "beyond the end");
}

}  // namespace
}  // namespace switchsaddle::fuzz
