#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/storage/file_system.h"

namespace CLI {
class App;
}

namespace switchsaddle {

/**
 * Opens the data folder of a core.
 * @throws base::Error with StorageFailed or StorageFull.
 */
using DiskFactory =
    std::function<std::unique_ptr<storage::FileSystem>(const std::string& data_folder)>;

/** @return a file system in a folder of the machine. */
std::unique_ptr<storage::FileSystem> openDisk(const std::string& data_folder);

/**
 * Adds `switchsaddle core`, which runs a control-plane node.
 * @param exit_code set when it ends.
 */
void addCoreCommand(CLI::App& app, int& exit_code, DiskFactory open_disk = openDisk);

/** Adds `switchsaddle front`, which runs a data-plane node. @param exit_code set when it ends. */
void addFrontCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
