#include "switchsaddle/journal/incident_of.h"

#include <gtest/gtest.h>

namespace switchsaddle::journal {
namespace {

Event makeEvent(Subject subject, const std::string& key, const std::string& value) {
  Event event;
  event.subject = subject;
  event.key = key;
  event.value = value;
  event.version = 7;
  return event;
}

TEST(IncidentOfTest, StorageFaultHasItsCodeAndDumpsTheRing) {
  const auto full = incidentOf(makeEvent(Subject::Storage, "acceptor", "StorageFull"));
  ASSERT_TRUE(full);
  EXPECT_EQ(full->event, "storage-fault");
  EXPECT_EQ(full->code, base::ResultCode::StorageFull);
  EXPECT_TRUE(full->dumps_ring);
  EXPECT_EQ(incidentOf(makeEvent(Subject::Storage, "load", "bad record"))->code,
            base::ResultCode::StorageFailed);
  EXPECT_EQ(incidentOf(makeEvent(Subject::Storage, "claim/1", "damaged"))->code,
            base::ResultCode::RecordCorrupt);
}

TEST(IncidentOfTest, OpenedStoreIsANotice) {
  const auto opened = incidentOf(makeEvent(Subject::Storage, "instance", "12"));
  EXPECT_EQ(opened->event, "storage-open");
  EXPECT_EQ(opened->severity, base::Severity::Notice);
  EXPECT_FALSE(opened->dumps_ring);
}

TEST(IncidentOfTest, KeptWorkerListIsAWarningAndAnUpdatedOneIsNot) {
  const auto kept = incidentOf(makeEvent(Subject::Workers, "platform", "list suddenly empty"));
  EXPECT_EQ(kept->event, "platform-list-kept");
  EXPECT_EQ(kept->severity, base::Severity::Warning);
  EXPECT_EQ(incidentOf(makeEvent(Subject::Workers, "platform", "list read"))->event,
            "platform-list-read");
}

TEST(IncidentOfTest, AcceptorSetAndConfigurationChangesAreNotices) {
  EXPECT_EQ(incidentOf(makeEvent(Subject::AcceptorSet, "set", "5 members"))->event,
            "acceptor-set-changed");
  EXPECT_EQ(incidentOf(makeEvent(Subject::AcceptorSet, "replacement", "a by b: Ok"))->event,
            "core-replacement");
  EXPECT_EQ(incidentOf(makeEvent(Subject::Configuration, "version", "8"))->event,
            "configuration-in-force");
}

TEST(IncidentOfTest, OtherEventsAreNoIncidents) {
  EXPECT_FALSE(incidentOf(makeEvent(Subject::Workers, "w1", "instance 4")));
  EXPECT_FALSE(incidentOf(makeEvent(Subject::Configuration, "tenants/editors", "{}")));
  EXPECT_FALSE(incidentOf(makeEvent(Subject::Session, "127.0.0.1:1", "live")));
}

}  // namespace
}  // namespace switchsaddle::journal
