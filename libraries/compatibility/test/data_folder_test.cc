#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "golden_file.h"
#include "source_directory.h"
#include "switchsaddle/claims/claim_value.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/scenarios/simulated_core.h"

namespace switchsaddle::compatibility {
namespace {

namespace fs = std::filesystem;

/** The data folder of one of five cores, written by an earlier release. */
constexpr const char* DataFolder =
    SWITCHSADDLE_SOURCE_DIR "/libraries/compatibility/test/golden/core_data";
constexpr base::Duration TimeToOpen = std::chrono::milliseconds(200);

std::string readFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return std::move(bytes).str();
}

void copyDataFolder(simulation::SimulatedDisk& disk) {
  for (const auto& entry : fs::recursive_directory_iterator(DataFolder)) {
    const std::string path = fs::relative(entry.path(), DataFolder).generic_string();
    if (entry.is_directory()) {
      disk.createFolder(path);
    } else {
      disk.write(path, readFile(entry.path()));
      disk.syncFile(path);
    }
  }
}

/** A core that has opened the data folder. None of its peers answers. */
class DataFolderTest : public testing::Test {
 protected:
  DataFolderTest() {
    platform_.reading.code = base::ResultCode::PeerTimeout;
    configuration::Settings settings;
    settings.peer_address = {"127.0.0.1", 7000};
    core_ = std::make_unique<scenarios::SimulatedCore>(world_, network_, platform_, settings);
    copyDataFolder(core_->disk());
    core_->start();
    world_.runFor(TimeToOpen);
  }

  std::string leaseText() {
    std::string text;
    for (const auto& [key, bytes] : openedRecords()) {
      if (key.starts_with("lease/")) {
        text += key + " " + bytes + "\n";
      }
    }
    return text;
  }

  std::map<std::string, std::string> openedRecords() {
    simulation::SimulatedDisk disk(1);
    copyDataFolder(disk);
    simulation::Process process(world_);
    process.start();
    simulation::SimulatedStorageExecutor executor(world_, process);
    base::RandomSource random(1);
    storage::FileRecordStore store(process, disk, executor, random);
    std::map<std::string, std::string> records;
    store.open([&](base::ResultCode code, const storage::OpenedStore& opened) {
      EXPECT_EQ(code, base::ResultCode::Ok);
      EXPECT_FALSE(opened.is_new);
      records = opened.records;
    });
    world_.runFor(TimeToOpen);
    return records;
  }

  simulation::World world_{1};
  simulation::Network network_{world_};
  scenarios::SimulatedPlatform platform_;
  std::unique_ptr<scenarios::SimulatedCore> core_;
};

TEST_F(DataFolderTest, ACoreOpensTheDataFolderOfAnEarlierRelease) {
  const registers::Acceptor& acceptor = core_->node().acceptor();
  std::ostringstream text;
  text << "instance " << acceptor.instance() << "\nregisters " << acceptor.registerCount() << "\n";
  const wire::AcceptorSet set = acceptor.acceptorSet();
  text << "epoch " << set.epoch << "\n";
  for (const wire::AcceptorMember& member : set.members) {
    text << "member " << member.address.toString() << " " << member.instance << "\n";
  }
  const std::string* value = acceptor.acceptedValue(registers::ConfigurationRegister);
  ASSERT_NE(value, nullptr);
  const configuration::RegisterValue configuration = configuration::decodeRegisterValue(*value);
  text << "configuration " << configuration.document.version << " "
       << configuration.document.digest() << " " << configuration.document.toJson() << "\n";
  for (const configuration::HistoryEntry& entry : configuration.history) {
    text << "change " << entry.version << " " << entry.change_id << "\n";
  }
  for (const auto& [key, bytes] : openedRecords()) {
    text << "record " << key << " " << bytes.size() << "\n";
  }
  text << leaseText();
  expectGolden("core_data.txt", text.str());
}

}  // namespace
}  // namespace switchsaddle::compatibility
