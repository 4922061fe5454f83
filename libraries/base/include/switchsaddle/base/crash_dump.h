#pragma once

#include <filesystem>

#include "switchsaddle/base/log.h"

namespace switchsaddle::base {

/** Name of the file with the log ring of the last crash. */
inline constexpr const char* CrashFileName = "ring-crash.log";

/**
 * Installs handlers that write the ring to CrashFileName in the folder, and the signal's name and
 * the last lines of the ring to the standard error output, when the process ends by a fatal signal
 * (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) or std::terminate. The process then ends by that
 * signal. Nothing waits for a reader of the output. The signal handler is async-signal-safe: the
 * path is composed in advance, and the handler allocates no memory.
 * @param ring must live as long as the process.
 * @param folder created if missing; if empty, no file is written.
 */
void installCrashDump(const LogRing& ring, const std::filesystem::path& folder);

}  // namespace switchsaddle::base
