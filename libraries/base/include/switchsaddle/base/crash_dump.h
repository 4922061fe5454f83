#pragma once

#include <filesystem>

#include "switchsaddle/base/log.h"

namespace switchsaddle::base {

/** The file in the folder that the last crash is written to. */
inline constexpr const char* CrashFileName = "ring-crash.log";

/**
 * From now on a fatal signal (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) or std::terminate writes
 * the ring to `ring-crash.log` in the folder before the process ends by that signal. The file's
 * path is settled now, and the handler only opens and writes, without allocating memory. The ring
 * outlives the process's work. Without a folder nothing is installed.
 */
void installCrashDump(const LogRing& ring, const std::filesystem::path& folder);

}  // namespace switchsaddle::base
