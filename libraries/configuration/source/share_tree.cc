#include "share_tree.h"

#include <algorithm>
#include <numeric>

namespace switchsaddle::configuration {

namespace {

/** Gives what the division left over to the largest remainders, one slot each. */
void distributeRemainder(std::uint64_t left, const std::vector<std::uint64_t>& remainders,
                         std::vector<std::uint32_t>& shares) {
  std::vector<std::size_t> order(shares.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, [&](std::size_t first, std::size_t second) {
    return remainders[first] > remainders[second];
  });
  for (std::size_t index = 0; index < left; ++index) {
    ++shares[order[index]];
  }
}

/** Moves single slots from the largest shares to children that came out with none. */
void fillEmptyShares(const std::vector<std::uint32_t>& parts, std::vector<std::uint32_t>& shares) {
  for (std::size_t index = 0; index < shares.size(); ++index) {
    if (parts[index] == 0 || shares[index] > 0) {
      continue;
    }
    const auto largest = std::ranges::max_element(shares);
    if (*largest < 2) {
      return;
    }
    --*largest;
    ++shares[index];
  }
}

}  // namespace

std::string parentBranch(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? std::string{} : path.substr(0, slash);
}

std::vector<std::uint32_t> divideSlots(std::uint32_t slots,
                                       const std::vector<std::uint32_t>& parts) {
  std::vector<std::uint32_t> shares(parts.size(), 0);
  const std::uint64_t sum = std::accumulate(parts.begin(), parts.end(), std::uint64_t{0});
  if (sum == 0) {
    return shares;
  }
  std::vector<std::uint64_t> remainders(parts.size(), 0);
  std::uint64_t left = slots;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    const std::uint64_t product = std::uint64_t{slots} * parts[index];
    shares[index] = static_cast<std::uint32_t>(product / sum);
    remainders[index] = product % sum;
    left -= shares[index];
  }
  distributeRemainder(left, remainders, shares);
  fillEmptyShares(parts, shares);
  return shares;
}

std::map<std::string, Branch> workOutBranches(const std::map<std::string, ShareEntry>& share) {
  std::map<std::string, std::vector<std::string>> children;
  for (const auto& [path, entry] : share) {
    children[parentBranch(path)].push_back(path);
  }
  std::map<std::string, Branch> branches;
  std::vector<std::string> open;
  for (const std::string& root : children[""]) {
    branches[root] = Branch{root, share.at(root).slots};
    open.push_back(root);
  }
  while (!open.empty()) {
    const std::string parent = std::move(open.back());
    open.pop_back();
    const std::vector<std::string>& paths = children[parent];
    std::vector<std::uint32_t> parts;
    for (const std::string& path : paths) {
      parts.push_back(share.at(path).parts);
    }
    const std::vector<std::uint32_t> shares = divideSlots(branches[parent].slots, parts);
    for (std::size_t index = 0; index < paths.size(); ++index) {
      branches[paths[index]] = Branch{paths[index], shares[index]};
      open.push_back(paths[index]);
    }
  }
  return branches;
}

}  // namespace switchsaddle::configuration
