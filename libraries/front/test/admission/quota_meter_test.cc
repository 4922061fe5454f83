#include "switchsaddle/front/admission/quota_meter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "switchsaddle/core/quotas/quota_allocator.h"
#include "switchsaddle/front/node/front_history.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::front {
namespace {

constexpr configuration::QuotaBounds Bounds{8, 0.1, 1'000};

configuration::ForwardTenant tenantOf(double rate) {
  configuration::ForwardTenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = rate;
  tenant.burst = rate;
  return tenant;
}

QuotaOptions optionsOf() {
  QuotaOptions options;
  options.bounds = Bounds;
  return options;
}

TEST(QuotaMeterTest, TenantWithoutAQuotaIsNotLimited) {
  simulation::World world{1};
  simulation::Process process{world};
  QuotaMeter meter(process, optionsOf());
  EXPECT_FALSE(meter.acquireLocally(tenantOf(0), 1e12).has_value());
}

TEST(QuotaMeterTest, WithoutReportsAFrontAdmitsAnEqualShare) {
  simulation::World world{1};
  simulation::Process process{world};
  QuotaMeter meter(process, optionsOf());
  meter.setFronts(4);
  meter.setAllocations({});
  world.runFor(std::chrono::seconds(9));
  const configuration::ForwardTenant tenant = tenantOf(1'000);
  double admitted = 0;
  for (int request = 0; request < 10'000; ++request) {
    admitted += meter.acquireLocally(tenant, 10).has_value() ? 0 : 10;
  }
  EXPECT_LE(admitted, *Bounds.limitOf(tenant) / 4);
  EXPECT_GT(admitted, *Bounds.limitOf(tenant) / 5);
  world.runFor(std::chrono::milliseconds(8'200));
  EXPECT_FALSE(meter.acquireLocally(tenant, 10).has_value());
}

TEST(QuotaMeterTest, FrontThatHasJustStartedAdmitsOnlyItsStartupShare) {
  simulation::World world{1};
  simulation::Process process{world};
  QuotaMeter meter(process, optionsOf());
  const configuration::ForwardTenant tenant = tenantOf(1'000);
  EXPECT_TRUE(meter.acquireLocally(tenant, 300).has_value());
  world.runFor(std::chrono::seconds(1));
  double admitted = 0;
  for (int request = 0; request < 1'000; ++request) {
    admitted += meter.acquireLocally(tenant, 10).has_value() ? 0 : 10;
  }
  // An eighth of the units that become available in a second, and the startup share.
  EXPECT_LE(admitted, *Bounds.limitOf(tenant) * (1.0 / 8 / 8 + 0.02));
  EXPECT_GT(admitted, 0);
}

TEST(QuotaMeterTest, RejectionHasARetryAfterAndRefundedUnitsAreAvailable) {
  simulation::World world{1};
  simulation::Process process{world};
  QuotaMeter meter(process, optionsOf());
  world.runFor(std::chrono::seconds(9));
  meter.setAllocations({{"t", 1, 0, 0}});
  const configuration::ForwardTenant tenant = tenantOf(100);
  const double all = *Bounds.limitOf(tenant) * 0.84;
  EXPECT_FALSE(meter.acquireLocally(tenant, all - 1).has_value());
  const auto wait = meter.acquireLocally(tenant, 50);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GT(*wait, base::Duration::zero());
  meter.refund(tenant, all - 1);
  EXPECT_FALSE(meter.acquireLocally(tenant, 50).has_value());
}

/** Fronts that report to one core four times a second, under changing demand. */
class QuotaFleet {
 public:
  QuotaFleet(std::uint64_t seed, std::size_t fronts) : world_(seed), tenant_(tenantOf(1'000)) {
    auto view = std::make_shared<configuration::View>();
    view->forwarding.tenants["t"] = tenant_;
    view_ = view;
    replaceCore();
    for (std::size_t index = 0; index < fronts; ++index) {
      meters_.push_back(std::make_unique<QuotaMeter>(process_, optionsOf()));
      meters_.back()->setFronts(fronts);
      // A front serves only once its session is open; the reply that opens it has the allocations.
      meters_.back()->setAllocations({});
      records_.emplace_back();
      records_.back().record.front = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
      histories_.push_back(std::make_unique<FrontHistory>(process_, records_.back().record.front));
    }
  }

  /** Requests `per_s` units per second for a while; the last `cut` fronts are partitioned. */
  void load(double per_s, base::Duration duration, std::size_t cut) {
    constexpr base::Duration Step = std::chrono::milliseconds(10);
    for (base::Duration passed{}; passed < duration; passed += Step) {
      world_.runFor(Step);
      ++steps_;
      report(cut);
      request(per_s * 0.01);
    }
  }
  /** Ends the first fronts and restarts them without state. */
  void restart(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      meters_[index] = std::make_unique<QuotaMeter>(process_, optionsOf());
      meters_[index]->setFronts(meters_.size());
      records_[index].record.instance += 1;
      records_[index].record.demand.clear();
      records_[index].record.fleet_knowledge = {};
      histories_[index] = std::make_unique<FrontHistory>(process_, records_[index].record.front);
    }
  }
  /** Ends the last fronts permanently. */
  void end(std::size_t count) {
    meters_.resize(meters_.size() - count);
    records_.resize(meters_.size());
    histories_.resize(meters_.size());
  }
  /** Replaces the core of all fronts by one that has only the live sessions. */
  void replaceCore() {
    allocator_ = std::make_unique<core::QuotaAllocator>(
        process_,
        [this](const core::QuotaAllocator::RecordVisitor& visitor) {
          for (const wire::SessionTableEntry& entry : liveRecords()) {
            visitor(entry.record);
          }
        },
        Bounds);
    allocator_->setConfiguration(view_);
  }
  /** Whether the core has the state of every front that may have admitted units in the window. */
  bool coreHasCompleteState() { return allocator_->allocate(records_[0].record).has_value(); }
  double maximumInAnyWindow() const { return maximum_in_window_; }
  double admittedUnits() const { return admitted_units_; }
  const configuration::ForwardTenant& tenant() const { return tenant_; }

 private:
  void report(std::size_t cut) {
    cut_ = cut;
    for (std::size_t index = 0; index + cut < meters_.size(); ++index) {
      if ((steps_ + index * 7) % 25 == 0) {
        records_[index].record.demand = meters_[index]->demand();
        histories_[index]->update(listed());
        records_[index].record.fleet_knowledge = histories_[index]->fleetKnowledge();
        if (const auto allocations = allocator_->allocate(records_[index].record)) {
          meters_[index]->setAllocations(*allocations);
        }
      }
    }
  }
  /** The records of a core: those of the fronts that are connected to it. */
  std::vector<wire::SessionTableEntry> liveRecords() const {
    return {records_.begin(), records_.end() - static_cast<std::ptrdiff_t>(cut_)};
  }
  std::vector<base::NodeAddress> listed() const {
    std::vector<base::NodeAddress> fronts;
    for (const wire::SessionTableEntry& entry : liveRecords()) {
      fronts.push_back(entry.record.front);
    }
    return fronts;
  }
  void request(double units) {
    const base::TimePoint now = process_.now();
    constexpr double Request = 50;
    for (due_units_ += units; due_units_ >= Request; due_units_ -= Request) {
      // Fronts receive unequal numbers of requests, as from real callers.
      const std::size_t first = world_.random().below(meters_.size());
      const std::size_t front = std::min(first, world_.random().below(meters_.size()));
      if (!meters_[front]->acquireLocally(tenant_, Request).has_value()) {
        admitted_.push_back({now, Request});
        admitted_units_ += Request;
      }
    }
    while (!admitted_.empty() && now - admitted_.front().first > std::chrono::seconds(8)) {
      admitted_.pop_front();
    }
    double sum = 0;
    for (const auto& [at, admitted_units] : admitted_) {
      sum += admitted_units;
    }
    maximum_in_window_ = std::max(maximum_in_window_, sum);
  }

  simulation::World world_;
  simulation::Process process_{world_};
  configuration::ForwardTenant tenant_;
  std::vector<wire::SessionTableEntry> records_;
  std::shared_ptr<const configuration::View> view_;
  std::unique_ptr<core::QuotaAllocator> allocator_;
  std::vector<std::unique_ptr<QuotaMeter>> meters_;
  std::vector<std::unique_ptr<FrontHistory>> histories_;
  std::deque<std::pair<base::TimePoint, double>> admitted_;
  std::size_t cut_ = 0;
  std::uint64_t steps_ = 0;
  double due_units_ = 0;
  double maximum_in_window_ = 0;
  double admitted_units_ = 0;
};

class QuotaFleetTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(QuotaFleetTest, FleetStaysWithinTheQuotaAndAdmitsTheDemand) {
  for (const std::size_t fronts : {6U, 40U}) {
    QuotaFleet fleet(GetParam(), fronts);
    fleet.load(0, std::chrono::seconds(9), 0);
    fleet.load(750, std::chrono::seconds(12), 0);
    // Demand well within the quota is admitted completely.
    EXPECT_GE(fleet.admittedUnits(), 750 * 12 * 0.99) << fronts;
    fleet.load(6'000, std::chrono::seconds(3), 0);
    fleet.restart(fronts / 2);
    fleet.replaceCore();
    fleet.load(6'000, std::chrono::seconds(12), 0);
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant())) << fronts;
    fleet.load(750, std::chrono::seconds(12), 0);
    fleet.load(6'000, std::chrono::milliseconds(700), 0);
    // A third of the fronts is partitioned at the time when a tenant's demand grows eightfold.
    fleet.load(6'000, std::chrono::seconds(12), fronts / 3);
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant())) << fronts;
    fleet.load(6'000, std::chrono::seconds(12), 0);
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant())) << fronts;
    fleet.load(6'000, std::chrono::seconds(20), fronts);
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant())) << fronts;
  }
}

TEST_P(QuotaFleetTest, CoresWithoutStateRecoverAtOnceIfNoFrontIsMissing) {
  constexpr std::size_t Fronts = 40;
  QuotaFleet fleet(GetParam(), Fronts);
  fleet.load(0, std::chrono::seconds(9), 0);
  fleet.load(900, std::chrono::seconds(12), 0);
  const double before = fleet.admittedUnits();
  fleet.replaceCore();
  fleet.load(900, std::chrono::milliseconds(500), 0);
  EXPECT_TRUE(fleet.coreHasCompleteState());
  fleet.load(900, std::chrono::seconds(8), 0);
  EXPECT_GE(fleet.admittedUnits() - before, 900 * 8.5 * 0.99);
  EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant()));
}

TEST_P(QuotaFleetTest, FrontsThatEndWhileAllCoresRestartStillCount) {
  constexpr std::size_t Fronts = 40;
  for (const bool permanently : {false, true}) {
    QuotaFleet fleet(GetParam(), Fronts);
    fleet.load(0, std::chrono::seconds(9), 0);
    fleet.load(6'000, std::chrono::seconds(9), 0);
    // After this, no node has a record of what these fronts admitted.
    if (permanently) {
      fleet.end(Fronts / 2);
    } else {
      fleet.restart(Fronts / 2);
    }
    fleet.replaceCore();
    fleet.load(6'000, std::chrono::seconds(2), 0);
    EXPECT_FALSE(fleet.coreHasCompleteState());
    fleet.load(6'000, std::chrono::seconds(12), 0);
    EXPECT_TRUE(fleet.coreHasCompleteState());
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(fleet.tenant()));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaFleetTest, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace switchsaddle::front
