#include "switchsaddle/testbed/checks/history_checker.h"

#include <gtest/gtest.h>

namespace switchsaddle::testbed {
namespace {

/** Builds records of calls, runs and orders. */
class HistoryCheckerTest : public testing::Test {
 protected:
  void sent(std::uint64_t call, const std::string& kind, std::int64_t at_ms,
            const std::string& key = {}) {
    CallEvent event;
    event.event = "sent";
    event.call = call;
    event.kind = kind;
    event.at_ms = at_ms;
    event.request_id = "r" + std::to_string(call);
    event.idempotency_key = key;
    evidence_.calls.push_back(event);
  }
  void chunk(std::uint64_t call, std::int64_t index, const std::string& run, std::int64_t at_ms) {
    CallEvent event;
    event.event = "piece";
    event.call = call;
    event.index = index;
    event.run = run;
    event.at_ms = at_ms;
    evidence_.calls.push_back(event);
  }
  void answered(std::uint64_t call, const std::string& end, const std::string& outcome = {},
                int status = 200) {
    CallEvent event;
    event.event = "answer";
    event.call = call;
    event.end = end;
    event.outcome = outcome;
    event.status = status;
    event.at_ms = 1'000;
    evidence_.calls.push_back(event);
  }
  void worker(const std::string& event, const std::string& kind, const std::string& run,
              std::int64_t at_ms, const std::string& key = {}, const std::string& request_id = {},
              std::uint64_t chunks = 0) {
    WorkerEvent line;
    line.event = event;
    line.kind = kind;
    line.run = run;
    line.at_ms = at_ms;
    line.idempotency_key = key;
    line.request_id = request_id + "-attempt";
    line.caller_request_id = request_id;
    line.chunks = chunks;
    line.tenant = "t1";
    journal_.events.push_back(line);
  }
  /** Records a stream of two chunks that its worker finished. */
  void stream(std::uint64_t call, const std::string& end = call_end::Done) {
    const std::string run = "run" + std::to_string(call);
    sent(call, "stream", 10);
    worker("start", "stream", run, 11, "", "r" + std::to_string(call));
    chunk(call, 0, run, 30);
    chunk(call, 1, run, 40);
    worker("end", "stream", run, 41, "", "r" + std::to_string(call), 2);
    answered(call, end);
  }
  void ordered(const std::string& event, const std::string& subject, std::int64_t at_ms) {
    evidence_.orders.push_back({at_ms, event, subject, ""});
  }
  std::vector<Rule> rules() {
    Evidence evidence = evidence_;
    evidence.journals.push_back(journal_);
    std::vector<Rule> found;
    for (const Violation& violation : checkHistory(evidence).violations) {
      found.push_back(violation.rule);
    }
    return found;
  }
  Evidence evidence_;
  WorkerJournal journal_;
};

using Rules = std::vector<Rule>;

TEST_F(HistoryCheckerTest, AValidRecordHasNoViolations) {
  stream(1);
  sent(2, "one-shot", 10, "k");
  worker("start", "one-shot", "o1", 12, "k", "r2");
  worker("end", "one-shot", "o1", 13, "k", "r2");
  answered(2, call_end::Done, "ran");
  sent(3, "one-shot", 10, "other");
  answered(3, call_end::Refused, "not-run", 429);
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, FindsAKeyThatRanTwice) {
  sent(1, "one-shot", 10, "k");
  answered(1, call_end::Lost);
  worker("start", "one-shot", "o1", 12, "k");
  worker("start", "one-shot", "o2", 15, "k");
  EXPECT_EQ(rules(), Rules{Rule::RanTwice});
}

TEST_F(HistoryCheckerTest, FindsARunOfAKeyThatWasAnsweredNotRun) {
  sent(1, "one-shot", 10, "k");
  answered(1, call_end::Refused, "not-run", 503);
  worker("start", "one-shot", "o1", 2'000, "k");
  EXPECT_EQ(rules(), Rules{Rule::RanAfterNotRun});
}

TEST_F(HistoryCheckerTest, ARunForAnotherRequestOfTheKeyIsAllowed) {
  sent(1, "one-shot", 10, "k");
  answered(1, call_end::Refused, "not-run", 503);
  sent(2, "one-shot", 1'500, "k");
  worker("start", "one-shot", "o1", 2'000, "k");
  answered(2, call_end::Done, "ran");
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, AResendAfterTheRunDoesNotAllowTheRun) {
  sent(1, "one-shot", 10, "k");
  answered(1, call_end::Refused, "not-run", 503);
  worker("start", "one-shot", "o1", 2'000, "k");
  sent(2, "one-shot", 3'000, "k");
  answered(2, call_end::Done, "ran");
  EXPECT_EQ(rules(), Rules{Rule::RanAfterNotRun});
}

TEST_F(HistoryCheckerTest, FindsARefusedRequestThatRan) {
  sent(1, "stream", 10);
  answered(1, call_end::Refused, "not-run", 429);
  worker("start", "stream", "s1", 2'000, "", "r1");
  EXPECT_EQ(rules(), Rules{Rule::RanAfterRefusal});
}

TEST_F(HistoryCheckerTest, FindsAnAnswerWithoutARun) {
  sent(1, "one-shot", 10, "k");
  answered(1, call_end::Done, "ran");
  EXPECT_EQ(rules(), Rules{Rule::AnsweredWithoutRun});
}

TEST_F(HistoryCheckerTest, FindsChunkIndicesOutOfSequence) {
  for (const std::vector<std::int64_t>& indices :
       {std::vector<std::int64_t>{0, 2}, {0, 0}, {1, 2}, {0, -1}}) {
    evidence_.calls.clear();
    sent(1, "stream", 10);
    for (const std::int64_t index : indices) {
      chunk(1, index, "s1", 20);
    }
    answered(1, call_end::Cut);
    EXPECT_EQ(rules(), Rules{Rule::ChunkOrder});
  }
}

TEST_F(HistoryCheckerTest, FindsTwoRunsInOneStream) {
  sent(1, "stream", 10);
  chunk(1, 0, "s1", 20);
  chunk(1, 1, "s2", 30);
  answered(1, call_end::Error);
  EXPECT_EQ(rules(), Rules{Rule::RunChanged});
}

TEST_F(HistoryCheckerTest, FindsADoneEventOfARunThatTheWorkerCancelled) {
  sent(1, "stream", 10);
  worker("start", "stream", "s1", 11);
  chunk(1, 0, "s1", 20);
  worker("cancelled", "stream", "s1", 30, "", "", 1);
  answered(1, call_end::Done);
  EXPECT_EQ(rules(), Rules{Rule::EarlyEnd});
}

TEST_F(HistoryCheckerTest, FindsADoneEventBeforeTheLastChunk) {
  sent(1, "stream", 10);
  worker("start", "stream", "s1", 11);
  chunk(1, 0, "s1", 20);
  worker("end", "stream", "s1", 30, "", "", 2);
  answered(1, call_end::Done);
  EXPECT_EQ(rules(), Rules{Rule::EarlyEnd});
}

TEST_F(HistoryCheckerTest, FindsATruncatedEndAndAcceptsVisibleErrors) {
  stream(1, call_end::Error);
  stream(2, call_end::Cut);
  EXPECT_EQ(rules(), Rules{});
  stream(3, call_end::Truncated);
  EXPECT_EQ(rules(), Rules{Rule::TruncatedEnd});
}

TEST_F(HistoryCheckerTest, FindsATenantOverItsLimit) {
  worker("start", "stream", "s1", 10);
  worker("start", "stream", "s2", 20);
  worker("end", "stream", "s1", 30);
  worker("start", "stream", "s3", 30);
  worker("end", "stream", "s2", 50);
  evidence_.limits["t1"] = 2;
  EXPECT_EQ(rules(), Rules{});
  evidence_.limits["t1"] = 1;
  EXPECT_EQ(rules(), Rules{Rule::OverLimit});
}

TEST_F(HistoryCheckerTest, ACrashedWorkersRunsEndWithItsLastLine) {
  worker("start", "stream", "s1", 10);
  worker("up", "process", "", 1'000);
  worker("start", "stream", "s2", 1'010);
  evidence_.limits["t1"] = 1;
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, FindsALateStartInAnEvacuatedZone) {
  journal_.zone = "a";
  ordered(order_event::Evacuated, "a", 1'000);
  ordered(order_event::Evacuated, "b", 1'000);
  worker("start", "stream", "s1", 900);
  worker("start", "stream", "s2", 6'000);
  EXPECT_EQ(rules(), Rules{});
  worker("start", "stream", "s3", 6'001);
  EXPECT_EQ(rules(), Rules{Rule::RanInEvacuatedZone});
  ordered(order_event::Restored, "a", 6'001);
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, FindsALateStartForARevokedKey) {
  ordered(order_event::Revoked, "t1", 1'000);
  ordered(order_event::Revoked, "t2", 1'000);
  worker("start", "stream", "s1", 3'000);
  EXPECT_EQ(rules(), Rules{});
  worker("start", "one-shot", "o1", 3'001, "k");
  EXPECT_EQ(rules(), Rules{Rule::RanForRevokedKey});
  ordered(order_event::Added, "t1", 2'500);
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, FindsRequestsSentToALeavingWorkerIncludingRefusedOnes) {
  journal_.worker = "w1";
  for (const char* event : {order_event::Draining, order_event::Vanished}) {
    for (const char* attempt : {"start", "refused"}) {
      evidence_.orders.clear();
      journal_.events.clear();
      ordered(event, "w1", 1'000);
      ordered(event, "w2", 1'000);
      worker("start", "stream", "s1", 4'000);
      EXPECT_EQ(rules(), Rules{});
      worker(attempt, "stream", "s2", 4'001);
      EXPECT_EQ(rules(), Rules{Rule::SentToLeavingWorker});
      ordered(order_event::Returned, "w1", 4'001);
      EXPECT_EQ(rules(), Rules{});
    }
  }
}

TEST_F(HistoryCheckerTest, FindsMoreRetriesThanTheShareOfAWindow) {
  for (std::uint64_t call = 1; call <= 20; ++call) {
    sent(call, "stream", 1'000);
    worker("refused", "stream", "", 1'000, "", "r" + std::to_string(call));
  }
  worker("start", "stream", "s1", 1'100, "", "r1");
  worker("start", "stream", "s2", 1'100, "", "r2");
  EXPECT_EQ(rules(), Rules{});
  worker("refused", "stream", "", 9'000, "", "r3");
  EXPECT_EQ(rules(), Rules{Rule::TooManyRetries});
}

TEST_F(HistoryCheckerTest, RetriesOfAnEarlierWindowDoNotCount) {
  for (std::uint64_t call = 1; call <= 20; ++call) {
    const std::int64_t at_ms = call <= 10 ? 1'000 : 12'000;
    sent(call, "stream", at_ms);
    worker("start", "stream", "s" + std::to_string(call), at_ms, "", "r" + std::to_string(call));
  }
  worker("start", "stream", "again1", 1'100, "", "r1");
  worker("start", "stream", "again2", 12'100, "", "r2");
  EXPECT_EQ(rules(), Rules{});
}

TEST_F(HistoryCheckerTest, CountsAnswersAndFirstTokens) {
  stream(1);
  stream(2);
  sent(3, "stream", 10);
  evidence_.journals.push_back(journal_);
  const HistoryReport report = checkHistory(evidence_);
  EXPECT_EQ(report.answers.at("stream done"), 2U);
  EXPECT_EQ(report.open_calls, 1U);
  EXPECT_EQ(report.first_token.samples, 2U);
  EXPECT_EQ(report.first_token.p50_ms, 20);
  EXPECT_EQ(report.first_token.p95_ms, 20);
}

}  // namespace
}  // namespace switchsaddle::testbed
