#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "source_directory.h"
#include "switchsaddle/configuration/check_report.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration::test {
namespace {

std::string readFromSources(const std::string& path) {
  std::ifstream file(std::string(SWITCHSADDLE_SOURCE_DIR) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class ExampleTest : public testing::TestWithParam<std::string> {};

TEST_P(ExampleTest, IsFreeOfFaults) {
  const std::string folder = std::string(SWITCHSADDLE_SOURCE_DIR) + "/examples/" + GetParam() + "/";
  std::ostringstream out;
  EXPECT_EQ(runCheck({folder + "configuration.json", CheckKind::Configuration, "", false}, out),
            CheckPassed)
      << out.str();
  EXPECT_EQ(runCheck({folder + "front.json", CheckKind::Settings, "front", false}, out),
            CheckPassed)
      << out.str();
  EXPECT_EQ(runCheck({folder + "core.json", CheckKind::Settings, "core", false}, out), CheckPassed)
      << out.str();
}

TEST_P(ExampleTest, ServesFiveTenantsByTheirDemoKeys) {
  std::vector<Fault> faults;
  const View view = buildView(parseConfigurationFile(
      readFromSources("examples/" + GetParam() + "/configuration.json"), faults));
  EXPECT_EQ(view.tenants.size(), 5);
  for (const auto& [name, tenant] : view.tenants) {
    const auto key = view.keys.find(sha256Hex("key-" + name));
    ASSERT_NE(key, view.keys.end()) << name;
    EXPECT_EQ(key->second.tenant, name);
    EXPECT_GT(view.branches.at(tenant.stream_branch).slots, 0) << name;
    EXPECT_GT(view.branches.at(tenant.one_shot_branch).slots, 0) << name;
  }
  EXPECT_TRUE(view.operator_hashes.contains(sha256Hex("operator-demo-key")));
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExampleTest,
                         testing::Values("tavola-comune", "red-comunitaria"));

TEST(ConfigurationPageTest, ExamplesAreFreeOfFaults) {
  const std::string page = readFromSources("docs/CONFIGURATION.md");
  const std::string fence = "```json\n";
  int blocks = 0;
  for (std::size_t start = page.find(fence); start != std::string::npos;
       start = page.find(fence, start + 1)) {
    const std::size_t begin = start + fence.size();
    const std::string block = page.substr(begin, page.find("```", begin) - begin);
    std::ostringstream out;
    EXPECT_EQ(checkText(block, {"page", CheckKind::Detect, "core", false}, out), CheckPassed)
        << out.str();
    ++blocks;
  }
  EXPECT_EQ(blocks, 2);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
