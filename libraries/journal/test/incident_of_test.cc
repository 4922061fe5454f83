#include "switchsaddle/journal/incident_of.h"

#include <gtest/gtest.h>

namespace switchsaddle::journal {
namespace {

Event event(Subject subject, const std::string& key, const std::string& value) {
  Event made;
  made.subject = subject;
  made.key = key;
  made.value = value;
  made.version = 7;
  return made;
}

TEST(IncidentOfTest, AStorageFaultHasItsCodeAndDumpsTheRing) {
  const auto full = incidentOf(event(Subject::Storage, "acceptor", "StorageFull"));
  ASSERT_TRUE(full);
  EXPECT_EQ(full->event, "storage-fault");
  EXPECT_EQ(full->code, base::ResultCode::StorageFull);
  EXPECT_TRUE(full->dumps_ring);
  EXPECT_EQ(incidentOf(event(Subject::Storage, "load", "bad record"))->code,
            base::ResultCode::StorageFailed);
  EXPECT_EQ(incidentOf(event(Subject::Storage, "claim/1", "damaged"))->code,
            base::ResultCode::RecordCorrupt);
}

TEST(IncidentOfTest, AnOpenedStoreIsANotice) {
  const auto opened = incidentOf(event(Subject::Storage, "instance", "12"));
  EXPECT_EQ(opened->event, "storage-open");
  EXPECT_EQ(opened->severity, base::Severity::Notice);
  EXPECT_FALSE(opened->dumps_ring);
}

TEST(IncidentOfTest, AKeptListIsAWarningAndAListReadAgainIsNot) {
  const auto kept = incidentOf(event(Subject::Workers, "platform", "list suddenly empty"));
  EXPECT_EQ(kept->event, "platform-list-kept");
  EXPECT_EQ(kept->severity, base::Severity::Warning);
  EXPECT_EQ(incidentOf(event(Subject::Workers, "platform", "list read"))->event,
            "platform-list-read");
}

TEST(IncidentOfTest, ChangesOfTheCoreAndOfTheConfigurationAreNotices) {
  EXPECT_EQ(incidentOf(event(Subject::AcceptorSet, "set", "5 members"))->event,
            "acceptor-set-changed");
  EXPECT_EQ(incidentOf(event(Subject::AcceptorSet, "replacement", "a by b: Ok"))->event,
            "core-replacement");
  EXPECT_EQ(incidentOf(event(Subject::Configuration, "version", "8"))->event,
            "configuration-in-force");
}

TEST(IncidentOfTest, OrdinaryBeliefsAreNone) {
  EXPECT_FALSE(incidentOf(event(Subject::Workers, "w1", "instance 4")));
  EXPECT_FALSE(incidentOf(event(Subject::Configuration, "tenants/editors", "{}")));
  EXPECT_FALSE(incidentOf(event(Subject::Session, "127.0.0.1:1", "live")));
}

}  // namespace
}  // namespace switchsaddle::journal
