#include "switchsaddle/configuration/check_report.h"

#include <gtest/gtest.h>

#include <sstream>

#include "sample_document.h"

namespace switchsaddle::configuration::test {
namespace {

TEST(CheckReportTest, DetectsTheKindOfAFile) {
  std::ostringstream out;
  EXPECT_EQ(checkText(sampleText(), {.file = "c"}, out), CheckPassed);
  EXPECT_EQ(checkText(R"({"zone": "a"})", {.file = "s"}, out), CheckPassed);
  EXPECT_EQ(out.str(), "c: configuration without faults\ns: settings without faults\n");
}

TEST(CheckReportTest, ListsEveryFault) {
  std::ostringstream out;
  EXPECT_EQ(checkText(R"({"tuning/none": 1, "keys/a": {}})", {.file = "c"}, out), CheckFailed);
  EXPECT_EQ(out.str(),
            "c: keys/a.sha256: 1003 MissingField: is missing\n"
            "c: keys/a.tenant: 1003 MissingField: is missing\n"
            "c: tuning/none: 1006 UnknownPath: there is no such tuning value\n"
            "c: configuration with 3 faults\n");
}

TEST(CheckReportTest, WritesJson) {
  std::ostringstream out;
  const CheckOptions options{
      .file = "s", .kind = CheckKind::Settings, .role = "front", .json = true};
  EXPECT_EQ(checkText(R"({"peer_address": "x", "http_address": "127.0.0.1:1", "zone": "a",
                          "seeds": ["127.0.0.1:2"]})",
                      options, out),
            CheckFailed);
  EXPECT_EQ(out.str(),
            R"({"file":"s","kind":"settings","faults":[{"path":"peer_address","code":1008,)"
            R"("message":"'x' is not IP:PORT"}]})"
            "\n");
}

TEST(CheckReportTest, AnUnreadableFileIsAFault) {
  std::ostringstream out;
  EXPECT_EQ(runCheck({.file = "/nonexistent/file"}, out), CheckFailed);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
