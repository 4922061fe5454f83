#include "share_tree.h"

#include <algorithm>
#include <numeric>

namespace switchsaddle::configuration {

namespace {

/** Adds one of the undivided slots to each of the children with the largest remainders. */
void distributeRemainder(std::uint64_t undivided_slots,
                         const std::vector<std::uint64_t>& remainders,
                         std::vector<std::uint32_t>& shares) {
  std::vector<std::size_t> order(shares.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, [&](std::size_t first, std::size_t second) {
    return remainders[first] > remainders[second];
  });
  for (std::size_t index = 0; index < undivided_slots; ++index) {
    ++shares[order[index]];
  }
}

/** Moves single slots from the largest shares to children with a weight but no slot. */
void fillEmptyShares(const std::vector<std::uint32_t>& weights,
                     std::vector<std::uint32_t>& shares) {
  for (std::size_t index = 0; index < shares.size(); ++index) {
    if (weights[index] == 0 || shares[index] > 0) {
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
                                       const std::vector<std::uint32_t>& weights) {
  std::vector<std::uint32_t> shares(weights.size(), 0);
  const std::uint64_t total_weight =
      std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  if (total_weight == 0) {
    return shares;
  }
  std::vector<std::uint64_t> remainders(weights.size(), 0);
  std::uint64_t undivided_slots = slots;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    const std::uint64_t product = std::uint64_t{slots} * weights[index];
    shares[index] = static_cast<std::uint32_t>(product / total_weight);
    remainders[index] = product % total_weight;
    undivided_slots -= shares[index];
  }
  distributeRemainder(undivided_slots, remainders, shares);
  fillEmptyShares(weights, shares);
  return shares;
}

std::map<std::string, Branch> resolveBranches(const std::map<std::string, ShareEntry>& share) {
  std::map<std::string, std::vector<std::string>> children;
  for (const auto& [path, entry] : share) {
    children[parentBranch(path)].push_back(path);
  }
  std::map<std::string, Branch> branches;
  std::vector<std::string> unvisited;
  for (const std::string& root : children[""]) {
    branches[root] = Branch{root, share.at(root).slots};
    unvisited.push_back(root);
  }
  while (!unvisited.empty()) {
    const std::string parent = std::move(unvisited.back());
    unvisited.pop_back();
    const std::vector<std::string>& paths = children[parent];
    std::vector<std::uint32_t> weights;
    for (const std::string& path : paths) {
      weights.push_back(share.at(path).weight);
    }
    const std::vector<std::uint32_t> shares = divideSlots(branches[parent].slots, weights);
    for (std::size_t index = 0; index < paths.size(); ++index) {
      branches[paths[index]] = Branch{paths[index], shares[index]};
      unvisited.push_back(paths[index]);
    }
  }
  return branches;
}

}  // namespace switchsaddle::configuration
