#include "switchsaddle/command_line/command_line.h"
#include "source_directory.h"

#include <gtest/gtest.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace switchsaddle::command_line {
namespace {

/** Command tree with `tool run --speed N` and `tool key add NAME`. */
class CommandLineTest : public testing::Test {
 protected:
  CommandLineTest() {
    app_.require_subcommand(1);
    CLI::App* run = app_.add_subcommand("run", "Run");
    run->add_option("--speed", speed_, "Speed")->required();
    run->add_flag("--json", json_, "As JSON");
    run->callback([this] { ++runs_; });
    CLI::App* key = app_.add_subcommand("key", "Keys");
    key->require_subcommand(1);
    key->add_subcommand("add", "Add")->add_option("name", name_, "Name")->required();
  }

  std::optional<ExitCode> parseWords(std::vector<const char*> words) {
    words.insert(words.begin(), "tool");
    return parse(app_, static_cast<int>(words.size()), words.data(), out_, errors_);
  }

  /** @return the completions of the last word in bash, one per line. */
  static std::string complete(const std::string& script, const std::string& words) {
    const std::string path = testing::TempDir() + "/completion-test.sh";
    std::ofstream file(path);
    file << script << "COMP_WORDS=(" << words << ")\n"
         << "COMP_CWORD=$((${#COMP_WORDS[@]} - 1))\n_tool\nprintf '%s\\n' \"${COMPREPLY[@]}\"\n";
    file.close();
    std::string completions;
    FILE* pipe = popen(("bash " + path).c_str(), "r");
    std::array<char, 256> buffer{};
    while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
      completions += buffer.data();
    }
    EXPECT_EQ(pclose(pipe), 0);
    return completions;
  }

  CLI::App app_{"A tool", "tool"};
  int speed_ = 0;
  bool json_ = false;
  std::string name_;
  int runs_ = 0;
  std::ostringstream out_;
  std::ostringstream errors_;
};

TEST_F(CommandLineTest, RunsTheCallbackOfAValidCommandLine) {
  EXPECT_EQ(parseWords({"run", "--speed", "3"}), std::nullopt);
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(speed_, 3);
}

TEST_F(CommandLineTest, InvalidCommandLinesAreUsageErrors) {
  EXPECT_EQ(parseWords({}), ExitCode::Usage);
  EXPECT_EQ(parseWords({"nothing"}), ExitCode::Usage);
  EXPECT_EQ(parseWords({"run"}), ExitCode::Usage);
  EXPECT_EQ(parseWords({"run", "--speed", "fast"}), ExitCode::Usage);
  EXPECT_EQ(parseWords({"run", "--speed", "3", "--unknown"}), ExitCode::Usage);
  EXPECT_EQ(runs_, 0);
  EXPECT_FALSE(errors_.str().empty());
  EXPECT_TRUE(out_.str().empty());
}

TEST_F(CommandLineTest, HelpIsWrittenToTheOutputAndExitsWithDone) {
  EXPECT_EQ(parseWords({"run", "--help"}), ExitCode::Done);
  EXPECT_NE(out_.str().find("--speed"), std::string::npos);
  EXPECT_TRUE(errors_.str().empty());
}

TEST_F(CommandLineTest, HelpShowsExamplesAndExitCodes) {
  describeUse(*app_.get_subcommand("run"), {"tool run --speed 3"});
  parseWords({"run", "--help"});
  EXPECT_NE(out_.str().find("  tool run --speed 3"), std::string::npos);
  EXPECT_NE(out_.str().find("  2  The command line is invalid."), std::string::npos);
}

TEST_F(CommandLineTest, BashCompletesSubcommandsAndOptionsOfEachLevel) {
  const std::string script = bashCompletion(app_);
  EXPECT_EQ(complete(script, "tool r"), "run\n");
  EXPECT_EQ(complete(script, "tool key ''"), "add\n--help\n");
  EXPECT_EQ(complete(script, "tool run --s"), "--speed\n");
}

TEST_F(CommandLineTest, BashCompletionSkipsTheValuesOfOptions) {
  const std::string script = bashCompletion(app_);
  // "key" is the value of --speed here, not the subcommand.
  EXPECT_EQ(complete(script, "tool run --speed key --j"), "--json\n");
  EXPECT_EQ(complete(script, "tool run --speed ''"), "\n");
}

TEST(ExitCodeTest, TheDocumentationContainsTheSameTable) {
  std::ifstream file(SWITCHSADDLE_SOURCE_DIR "/docs/OPERATIONS.md");
  std::ostringstream document;
  document << file.rdbuf();
  for (const ExitCodeInfo& info : exitCodeTable()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.meaning
        << " |";
    EXPECT_NE(document.str().find(row.str()), std::string::npos) << row.str();
  }
}

}  // namespace
}  // namespace switchsaddle::command_line
