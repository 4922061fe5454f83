#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace switchsaddle::streams {

/** The members of a worker's chunk that the relay uses; std::nullopt if absent. */
struct WorkerChunk {
  std::optional<std::string> run;
  std::optional<std::uint64_t> index;
  std::optional<std::uint64_t> tokens;
};

/** @return std::nullopt if the text is not a JSON object or a member has the wrong type. */
std::optional<WorkerChunk> parseWorkerChunk(std::string_view text);

}  // namespace switchsaddle::streams
