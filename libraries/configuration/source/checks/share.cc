#include <algorithm>

#include "checks/checks.h"
#include "object_reader.h"
#include "share_tree.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr IntegerRange SlotRange{1, 1'000'000};
constexpr IntegerRange WeightRange{0, 1'000'000};
constexpr std::size_t MaximumDepth = 8;
constexpr const char* RootName = "root";

/** Reports a branch path with an invalid name or too many levels; @return whether names are valid.
 */
bool checkBranchPath(const EntryText& entry, Faults& faults) {
  std::size_t depth = 0;
  bool is_valid = true;
  for (std::size_t begin = 0; begin <= entry.name.size() && is_valid;) {
    const std::size_t end = std::min(entry.name.find('/', begin), entry.name.size());
    is_valid = isName(std::string_view(entry.name).substr(begin, end - begin));
    begin = end + 1;
    ++depth;
  }
  if (!is_valid) {
    faults.push_back(
        {entry.path, ResultCode::UnknownPath,
         "must be a path of names, each of 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"});
  } else if (depth > MaximumDepth) {
    faults.push_back({entry.path, ResultCode::InvalidValue,
                      "must have at most " + std::to_string(MaximumDepth) + " levels"});
  }
  return is_valid;
}

}  // namespace

void parseShare(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  if (!checkBranchPath(entry, faults)) {
    return;
  }
  ShareEntry& share = parsed.share[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  const bool is_root = parentBranch(entry.name).empty();
  const std::string member = is_root ? "slots" : "parts";
  reader.required(member);
  if (is_root) {
    share.slots = static_cast<std::uint32_t>(reader.integer(member, SlotRange, SlotRange.minimum));
    if (entry.name != RootName) {
      faults.push_back({entry.path, ResultCode::InvalidValue, "the root must be share/root"});
    }
  } else {
    share.weight = static_cast<std::uint32_t>(reader.integer(member, WeightRange, 1));
  }
  reader.finish();
}

void checkShareTree(const ParsedConfiguration& parsed, Faults& faults) {
  std::map<std::string, std::uint64_t> total_weights;
  for (const auto& [path, entry] : parsed.share) {
    const std::string parent = parentBranch(path);
    if (parent.empty()) {
      continue;
    }
    total_weights[parent] += entry.weight;
    if (!parsed.share.contains(parent)) {
      faults.push_back({"share/" + path, ResultCode::InvalidValue,
                        "there is no entry of its parent share/" + parent});
    }
  }
  for (const auto& [parent, total_weight] : total_weights) {
    if (total_weight == 0) {
      faults.push_back({"share/" + parent, ResultCode::InvalidValue,
                        "the parts of its children must not all be zero"});
    }
  }
}

}  // namespace switchsaddle::configuration
