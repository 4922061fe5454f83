#include "switchsaddle/routing/arm_index.h"

#include <algorithm>
#include <bit>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

void ArmIndex::rebuild(const std::vector<ArmPtr>& arms) {
  arms_ = arms;
  ranges_.clear();
  by_signature_.clear();
  ring_.clear();
  for (std::uint32_t index = 0; index < arms.size(); ++index) {
    const WorkerRecord& worker = *arms[index]->prefill;
    by_signature_.emplace(arms[index]->signature, arms[index].get());
    if (worker.number >= ranges_.size()) {
      ranges_.resize(worker.number + 1U);
    }
    Range& range = ranges_[worker.number];
    if (range.count == 0) {
      range.first = index;
    }
    ++range.count;
  }
  buildRing();
}

void ArmIndex::buildRing() {
  const auto workers = static_cast<std::size_t>(std::count_if(
      ranges_.begin(), ranges_.end(), [](const Range& one) { return one.count > 0; }));
  if (workers == 0) {
    return;
  }
  const std::size_t even_share = std::bit_floor(std::max<std::size_t>(1, RingSize / workers));
  const std::size_t points = std::clamp(even_share, MinimumPoints, MaximumPoints);
  ring_.reserve(workers * points);
  for (const Range& range : ranges_) {
    if (range.count > 0) {
      addPoints(*arms_[range.first]->prefill, points);
    }
  }
  std::sort(ring_.begin(), ring_.end(),
            [](const Point& first, const Point& second) { return first.hash < second.hash; });
}

void ArmIndex::addPoints(const WorkerRecord& worker, std::size_t count) {
  for (std::size_t point = 0; point < count; ++point) {
    ring_.push_back(Point{base::combineHashes(worker.hash, point), worker.number});
  }
}

Arm* ArmIndex::findSignature(const std::string& signature) const {
  const auto found = by_signature_.find(signature);
  return found == by_signature_.end() ? nullptr : found->second;
}

ArmIndex::Arms ArmIndex::armsOf(WorkerNumber prefill) const {
  if (prefill >= ranges_.size()) {
    return {};
  }
  return arms_.subspan(ranges_[prefill].first, ranges_[prefill].count);
}

ArmIndex::Arms ArmIndex::homeOf(std::uint64_t chain, std::size_t replica) const {
  if (ring_.empty()) {
    return {};
  }
  const std::uint64_t hash = replica == 0 ? chain : base::combineHashes(chain, replica);
  const auto found =
      std::lower_bound(ring_.begin(), ring_.end(), hash,
                       [](const Point& point, std::uint64_t value) { return point.hash < value; });
  return armsOf(found == ring_.end() ? ring_.front().worker : found->worker);
}

}  // namespace switchsaddle::routing
