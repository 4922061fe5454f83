#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "binary_targets.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/fuzz/target.h"
#include "text_targets.h"

namespace switchsaddle::fuzz {

namespace {

/** Reads the files in the order of their names, so that a seed gives the same inputs on every
 * machine. */
std::vector<std::string> readCorpus(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> paths;
  if (std::filesystem::is_directory(folder)) {
    std::copy(std::filesystem::directory_iterator(folder), {}, std::back_inserter(paths));
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs;
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    inputs.push_back(text.str());
  }
  return inputs;
}

}  // namespace

std::vector<Target> allTargets(const std::string& corpus_folder) {
  std::vector<Target> targets = textTargets();
  std::vector<Target> more = binaryTargets();
  more.push_back(httpServerTarget());
  more.push_back(httpClientTarget());
  std::move(more.begin(), more.end(), std::back_inserter(targets));
  for (Target& target : targets) {
    const std::vector<std::string> files =
        readCorpus(std::filesystem::path(corpus_folder) / target.name);
    target.corpus.insert(target.corpus.end(), files.begin(), files.end());
    if (target.corpus.empty()) {
      throw base::Error(base::ResultCode::UnknownPath,
                        "no corpus files for target " + target.name + " below " + corpus_folder);
    }
  }
  return targets;
}

}  // namespace switchsaddle::fuzz
