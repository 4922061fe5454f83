#include "switchsaddle/journal/state_view.h"

#include <gtest/gtest.h>

namespace switchsaddle::journal {
namespace {

/** A dispatcher whose clock does not advance. */
class FixedClockDispatcher : public base::Dispatcher {
 public:
  base::TimePoint now() const override { return {}; }
  base::TimerPtr createTimer(std::function<void()> /*callback*/) override { return nullptr; }
  void post(std::function<void()> /*callback*/) override {}
};

TEST(StateViewTest, KeepsTheNewestStateAndRemovesEntriesWithoutAValue) {
  FixedClockDispatcher dispatcher;
  Journal journal(dispatcher, 2);
  journal.append(Subject::Lease, "early", "x", 1);
  StateView view(journal);
  journal.append(Subject::Configuration, "a", "1", 1);
  journal.append(Subject::Configuration, "a", "2", 2);
  journal.append(Subject::Configuration, "b", "1", 3);
  journal.append(Subject::Configuration, "b", "", 4);
  ASSERT_EQ(view.entries().size(), 2U);
  EXPECT_EQ(view.entries().at({Subject::Configuration, "a"}).value, "2");
  EXPECT_EQ(view.entries().at({Subject::Lease, "early"}).version, 1U);
}

TEST(StateViewTest, EqualStatesHaveEqualDigests) {
  FixedClockDispatcher dispatcher;
  Journal first_journal(dispatcher);
  Journal second_journal(dispatcher);
  StateView first(first_journal);
  StateView second(second_journal);
  first_journal.append(Subject::Workers, "a", "1", 1);
  first_journal.append(Subject::Workers, "b", "1", 2);
  second_journal.append(Subject::Workers, "b", "1", 2);
  second_journal.append(Subject::Lease, "c", "1", 2);
  EXPECT_NE(first.digest(Subject::Workers), second.digest(Subject::Workers));
  second_journal.append(Subject::Workers, "a", "1", 1);
  EXPECT_EQ(first.digest(Subject::Workers), second.digest(Subject::Workers));
}

}  // namespace
}  // namespace switchsaddle::journal
