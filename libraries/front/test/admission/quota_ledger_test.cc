// Tenants close to their quota in fleets of many fronts: compares a ledger that decides on each
// request with fronts that admit within their shares of the remainder.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <memory>
#include <set>

#include "switchsaddle/core/quotas/quota_ledger.h"
#include "switchsaddle/front/admission/quota_meter.h"
#include "switchsaddle/front/node/front_history.h"
#include "switchsaddle/simulation/network.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr configuration::QuotaBounds Bounds{8, 0.1, 140'000};
constexpr double Rate = 100'000;

/** A kind of request: its priority, its size, and its percentage of all requests. */
struct Kind {
  std::uint32_t urgency;
  double units;
  std::uint64_t percent;
};
constexpr std::array<Kind, 3> Kinds{Kind{0, 900, 28}, Kind{1, 12'000, 27}, Kind{2, 2'400, 45}};
constexpr double MeanUnits = 0.28 * 900 + 0.27 * 12'000 + 0.45 * 2'400;

configuration::ForwardTenant tenantOf() {
  configuration::ForwardTenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = Rate;
  tenant.burst = Rate;
  return tenant;
}

/** @return units that the fleet may admit within a window. */
double usedLimit() {
  return *Bounds.limitOf(tenantOf()) * configuration::UsableQuotaShare;
}

/** Many fronts that renew with one core each quarter of a second and request units of its ledger.
 */
class LedgerFleet {
 public:
  LedgerFleet(std::uint64_t seed, std::size_t fronts, bool with_ledger = true)
      : world_(seed), with_ledger_(with_ledger) {
    auto view = std::make_shared<configuration::View>();
    view->forwarding.tenants["t"] = tenantOf();
    view_ = view;
    takeOver(true);
    for (std::size_t index = 0; index < fronts; ++index) {
      fronts_.push_back(std::make_unique<Front>());
      start(index);
    }
    run(seconds(9), 0);
  }

  /** Sends requests for this many units per second. */
  void run(base::Duration duration, double units_per_s) {
    constexpr base::Duration Step = milliseconds(10);
    for (base::Duration passed{}; passed < duration; passed += Step) {
      world_.runFor(Step);
      ++steps_;
      renew();
      for (due_units_ += units_per_s * 0.01; due_units_ > 0; due_units_ -= MeanUnits) {
        request();
      }
      updateWindow();
    }
  }
  /** Moves the ledger's lease to another core, which may have lost the fronts' reports. */
  void takeOver(bool loses_state) {
    ledger_.reset();
    if (loses_state) {
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
    lease_held_since_ = world_.now();
    ledger_ = std::make_unique<core::QuotaLedger>(
        process_, calls_, *allocator_, Bounds.window_s,
        [this](const std::string&) { return std::optional<base::TimePoint>(lease_held_since_); });
  }
  void kill(std::size_t index) { fronts_[index]->meter.reset(); }
  void restart(std::size_t index) {
    ++fronts_[index]->entry.record.instance;
    start(index);
  }
  void cut(std::size_t index, bool is_partitioned) {
    fronts_[index]->is_partitioned = is_partitioned;
  }
  std::size_t size() const { return fronts_.size(); }
  base::RandomSource& random() { return world_.random(); }
  double maximumInAnyWindow() const { return maximum_in_window_; }
  double admittedUnits() const { return admitted_units_; }
  /** @return the admitted share of the requests of one kind. */
  double servedShare(std::size_t kind) const {
    return static_cast<double>(served_[kind]) / static_cast<double>(requested_[kind]);
  }

 private:
  /** Carries the requests of one front to the ledger. */
  class Authority : public QuotaAuthority {
   public:
    Authority(LedgerFleet& fleet, std::size_t front) : fleet_(fleet), front_(front) {}
    void request(const std::string& tenant, std::uint32_t urgency, double units,
                 Callback callback) override {
      fleet_.requestUnits(front_, tenant, urgency, units, std::move(callback));
    }
    bool reachable() const override { return fleet_.with_ledger_; }

   private:
    LedgerFleet& fleet_;
    std::size_t front_;
  };
  struct Front {
    wire::SessionTableEntry entry;
    std::unique_ptr<Authority> authority;
    std::unique_ptr<QuotaMeter> meter;
    std::unique_ptr<FrontHistory> history;
    bool is_partitioned = false;
    base::TimePoint last_seen{};
    std::uint64_t last_request = 0;
    std::set<std::uint64_t> pending_requests;
  };

  void start(std::size_t index) {
    Front& front = *fronts_[index];
    front.entry.record.front = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    front.entry.record.demand.clear();
    front.entry.record.fleet_knowledge = {};
    front.last_request = 0;
    front.pending_requests.clear();
    front.authority = std::make_unique<Authority>(*this, index);
    QuotaOptions options;
    options.bounds = Bounds;
    front.meter = std::make_unique<QuotaMeter>(process_, options, front.authority.get());
    front.history = std::make_unique<FrontHistory>(process_, front.entry.record.front);
  }

  void requestUnits(std::size_t index, const std::string& tenant, std::uint32_t urgency,
                    double units, QuotaAuthority::Callback callback) {
    Front& front = *fronts_[index];
    const std::uint64_t number = ++front.last_request;
    front.pending_requests.insert(number);
    const wire::QuotaRequest message{tenant,
                                     static_cast<float>(units),
                                     static_cast<std::uint8_t>(urgency),
                                     front.entry.record.front,
                                     front.entry.record.instance,
                                     number};
    process_.postAfter(milliseconds(1 + random().below(8)), [this, index, message, callback] {
      std::optional<wire::QuotaReply> answer;
      if (!fronts_[index]->is_partitioned) {
        answer = ledger_->decide(message);
      }
      const bool usable = answer && answer->is_ledger && answer->known;
      const base::Duration reply_delay = milliseconds(usable ? 1 + random().below(8) : 150);
      process_.postAfter(reply_delay, [this, index, message, usable, answer, callback] {
        Front& sender = *fronts_[index];
        const bool is_running = sender.meter && sender.entry.record.instance == message.instance;
        if (is_running) {
          callback(usable ? answer : std::nullopt);
          sender.pending_requests.erase(message.number);
        }
      });
    });
  }

  void renew() {
    std::vector<base::NodeAddress> listed;
    for (std::size_t index = 0; index < fronts_.size(); ++index) {
      Front& front = *fronts_[index];
      if (!front.meter || front.is_partitioned || (steps_ + index * 7) % 25 != 0) {
        continue;
      }
      if (listed.empty()) {
        for (const wire::SessionTableEntry& entry : liveRecords()) {
          listed.push_back(entry.record.front);
        }
      }
      wire::SessionRecord& record = front.entry.record;
      record.demand = front.meter->demand();
      record.completed_requests =
          front.pending_requests.empty() ? front.last_request : *front.pending_requests.begin() - 1;
      front.meter->setFronts(fronts_.size());
      front.history->update(listed);
      record.fleet_knowledge = front.history->fleetKnowledge();
      front.last_seen = world_.now();
      if (const auto allocations = allocator_->allocate(record)) {
        front.meter->setAllocations(*allocations);
      }
    }
  }
  std::vector<wire::SessionTableEntry> liveRecords() const {
    std::vector<wire::SessionTableEntry> records;
    for (const std::unique_ptr<Front>& front : fronts_) {
      const bool live = front->last_seen != base::TimePoint{} &&
                        world_.now() - front->last_seen < milliseconds(1'500);
      if (live) {
        records.push_back(front->entry);
      }
    }
    return records;
  }
  void request() {
    const std::uint64_t drawn = random().below(100);
    std::size_t kind = 0;
    for (std::uint64_t sum = Kinds[0].percent; sum <= drawn; sum += Kinds[kind].percent) {
      ++kind;
    }
    Front& front = *fronts_[random().below(fronts_.size())];
    if (!front.meter) {
      return;
    }
    ++requested_[kind];
    front.meter->acquire(tenantOf(), Kinds[kind].urgency, Kinds[kind].units,
                         [this, kind](const QuotaMeter::Decision& wait) {
                           if (!wait) {
                             admitted_.push_back({world_.now(), Kinds[kind].units});
                             in_window_ += Kinds[kind].units;
                             admitted_units_ += Kinds[kind].units;
                             ++served_[kind];
                           }
                           return AdmittedUnits::Keep;
                         });
  }
  void updateWindow() {
    while (!admitted_.empty() && world_.now() - admitted_.front().first > seconds(8)) {
      in_window_ -= admitted_.front().second;
      admitted_.pop_front();
    }
    maximum_in_window_ = std::max(maximum_in_window_, in_window_);
  }

  simulation::World world_;
  simulation::Process process_{world_};
  simulation::Network network_{world_};
  std::unique_ptr<transport::Transport> transport_ = network_.attach({"127.0.0.2", 1}, process_);
  transport::PeerCalls calls_{process_, *transport_};
  bool with_ledger_;
  std::shared_ptr<const configuration::View> view_;
  std::unique_ptr<core::QuotaAllocator> allocator_;
  std::unique_ptr<core::QuotaLedger> ledger_;
  base::TimePoint lease_held_since_;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::deque<std::pair<base::TimePoint, double>> admitted_;
  std::array<std::uint64_t, Kinds.size()> requested_{};
  std::array<std::uint64_t, Kinds.size()> served_{};
  std::uint64_t steps_ = 0;
  double due_units_ = 0;
  double in_window_ = 0;
  double maximum_in_window_ = 0;
  double admitted_units_ = 0;
};

/** @return the admitted share of the quota under a demand of `factor` times its rate. */
double usedShare(std::uint64_t seed, std::size_t fronts, double factor, bool with_ledger) {
  LedgerFleet fleet(seed, fronts, with_ledger);
  fleet.run(seconds(10), Rate * factor);
  const double before = fleet.admittedUnits();
  fleet.run(seconds(16), Rate * factor);
  EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(tenantOf()));
  return (fleet.admittedUnits() - before) / 2 / usedLimit();
}

TEST(QuotaLedgerTest, AdmitsTheCompleteQuotaForAnyNumberOfFronts) {
  for (const std::size_t fronts : {6U, 67U, 291U}) {
    for (const double factor : {1.5, 7.5}) {
      const double share = usedShare(fronts, fronts, factor, true);
      std::cout << fronts << " fronts, demand of " << factor << " times the rate: admitted "
                << share << '\n';
      EXPECT_GE(share, 0.97) << fronts << " fronts, demand factor " << factor;
    }
  }
}

TEST(QuotaLedgerTest, WithoutTheLedgerManyFrontsAdmitLess) {
  const double share = usedShare(1, 291, 7.5, false);
  std::cout << "admitted without the ledger: " << share << '\n';
  EXPECT_LT(share, 0.9);
}

TEST(QuotaLedgerTest, ServesHigherPriorityFirstAndStarvesNoKind) {
  LedgerFleet fleet(1, 291);
  fleet.run(seconds(60), Rate * 2);
  for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
    std::cout << "urgency " << Kinds[kind].urgency << ": " << fleet.servedShare(kind) << '\n';
  }
  EXPECT_GE(fleet.servedShare(0), 0.95);
  EXPECT_GE(fleet.servedShare(1), fleet.servedShare(2) - 0.05);
  EXPECT_GE(fleet.servedShare(2), 0.25);
}

/** All processes are killed and restart without state, so no node has a record of earlier requests.
 * The ledger admits only what is certain to fit the quota. */
TEST(QuotaLedgerTest, AfterLossOfAllStateAdmitsOnlyUnitsThatHaveCertainlyLeftTheWindow) {
  for (const double factor : {0.77, 7.5}) {
    LedgerFleet fleet(1, 291);
    fleet.run(seconds(12), Rate * factor);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      fleet.kill(index);
      fleet.restart(index);
    }
    fleet.takeOver(true);
    fleet.run(seconds(3), Rate * factor);
    const double before = fleet.admittedUnits();
    fleet.run(seconds(5), Rate * factor);
    const double share = (fleet.admittedUnits() - before) / (5 * Rate * std::min(1.0, factor));
    std::cout << "demand of " << factor << " times the rate: " << share << " admitted\n";
    EXPECT_GE(share, factor < 1 ? 0.9 : 0.4);
    fleet.run(seconds(9), Rate * factor);
    EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(tenantOf()));
  }
}

class QuotaLedgerSeeds : public testing::TestWithParam<std::uint64_t> {};

/** A tenant's demand is many times its quota while fronts are killed and partitioned and the ledger
 * moves.
 */
TEST_P(QuotaLedgerSeeds, StaysWithinTheQuotaUnderKillsPartitionsAndTakeovers) {
  LedgerFleet fleet(GetParam(), 291);
  fleet.run(seconds(9), Rate * 0.77);
  const double jump = 2 + 6 * fleet.random().uniform();
  fleet.run(milliseconds(fleet.random().below(2'000)), Rate * jump);
  const std::size_t killed = 20 + fleet.random().below(30);
  for (std::size_t index = 0; index < killed; ++index) {
    fleet.kill(index);
  }
  const std::size_t cut = fleet.random().below(60);
  for (std::size_t index = killed; index < killed + cut; ++index) {
    fleet.cut(index, true);
  }
  fleet.run(seconds(1) + milliseconds(fleet.random().below(2'000)), Rate * jump);
  for (std::size_t index = 0; index < killed; ++index) {
    fleet.restart(index);
  }
  fleet.takeOver(fleet.random().chance(0.3));
  fleet.run(seconds(3), Rate * jump);
  for (std::size_t index = killed; index < killed + cut; ++index) {
    fleet.cut(index, false);
  }
  fleet.run(seconds(9), Rate * jump);
  EXPECT_LE(fleet.maximumInAnyWindow(), *Bounds.limitOf(tenantOf()));
  const double before = fleet.admittedUnits();
  fleet.run(seconds(8), Rate * jump);
  EXPECT_GE((fleet.admittedUnits() - before) / usedLimit(), 0.75);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaLedgerSeeds, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace switchsaddle::front
