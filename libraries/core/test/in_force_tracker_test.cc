#include "switchsaddle/core/in_force_tracker.h"

#include "change_fixture.h"

namespace switchsaddle::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class InForceTrackerTest : public ChangeFixture {
 protected:
  InForceTrackerTest() : ChangeFixture(1) {}

  /** Readings within two seconds of a wait that does not end, where each takes so long. */
  int readings(base::Duration each) {
    directory_.setSession({"127.0.0.2", 7000}, 0);
    directory_.holds = true;
    tracker_.wait(5, process_.now() + seconds(10), [](const InForceOutcome&) {});
    const base::TimePoint end = process_.now() + seconds(2);
    while (process_.now() < end) {
      world_.runFor(each);
      for (const auto& answer : std::exchange(directory_.held, {})) {
        answer(base::ResultCode::Ok, directory_.live);
      }
    }
    return directory_.reads;
  }
};

TEST_F(InForceTrackerTest, ReadsOftenWhereCoresAnswerFast) {
  EXPECT_GT(readings(milliseconds(5)), 80);
}

/** Each waiting core reads the tables of all others: cores that are slow must not be asked the
 * more. */
TEST_F(InForceTrackerTest, ReadsLessOftenWhereAReadingTakesLong) {
  EXPECT_LE(readings(milliseconds(100)), 14);
}

}  // namespace
}  // namespace switchsaddle::core
