#include "switchsaddle/lightweight_fronts/lightweight_front.h"

#include <iterator>
#include <string>
#include <utility>

#include "switchsaddle/admission/ledger_slot_broker.h"

namespace switchsaddle::lightweight_fronts {

namespace {

/** Measurements of a generated completion; its service time is drawn at random. */
constexpr std::uint32_t OutputTokens = 300;
constexpr std::uint32_t PromptTokens = 1'000;
constexpr base::Duration FirstToken = std::chrono::milliseconds(300);
constexpr base::Duration MinimumServiceTime = std::chrono::milliseconds(6'000);
constexpr std::uint64_t ServiceTimeSpreadMs = 6'000;

/** The call of a request that failed before it was sent. */
class FailedWorkerCall final : public front::WorkerCall {
 public:
  void cancel() override {}
};

/** A port through which no worker is reachable. */
class UnreachableWorkers final : public front::WorkerPort {
 public:
  explicit UnreachableWorkers(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}
  front::WorkerCallPtr send(const front::WorkerRequest& /*request*/,
                            std::shared_ptr<front::WorkerObserver> observer) override {
    dispatcher_.post([observer = std::move(observer)] {
      observer->onFailure(front::WorkerFailure::NotSent, false);
    });
    return std::make_shared<FailedWorkerCall>();
  }

 private:
  base::Dispatcher& dispatcher_;
};

}  // namespace

LightweightFront::LightweightFront(base::Dispatcher& dispatcher, transport::Transport& transport,
                                   std::uint64_t seed, configuration::Settings settings,
                                   AppliedListener applied, LightweightFrontOptions options)
    : settings_(std::move(settings)),
      calls_(dispatcher, transport),
      random_(seed),
      journal_(dispatcher),
      workers_(std::make_unique<UnreachableWorkers>(dispatcher)),
      instance_(random_.next()),
      applied_(std::move(applied)),
      options_(options),
      node_(front::FrontEnvironment{dispatcher, calls_, random_, journal_, settings_, *workers_,
                                    instance_}) {
  journal_.addListener([this](const journal::Event& event) { recordVersion(event); });
  if (options_.acquire_slots) {
    slots_ = makeSlots(dispatcher);
  }
}

LightweightFront::~LightweightFront() {
  // Permits return their slots to the broker, which must still exist.
  permits_.clear();
}

std::unique_ptr<admission::SlotBroker> LightweightFront::makeSlots(base::Dispatcher& dispatcher) {
  return std::make_unique<admission::LedgerSlotBroker>(
      dispatcher, calls_, instance_,
      [this] {
        const std::vector<base::NodeAddress>& learned = node_.session().coreAddresses();
        return learned.empty() ? settings_.seeds : learned;
      },
      admission::SlotBrokerOptions{});
}

void LightweightFront::acquireSlot() {
  const auto& tenants = node_.replica().view()->tenants;
  if (tenants.empty()) {
    return;
  }
  const auto chosen =
      std::next(tenants.begin(), static_cast<std::ptrdiff_t>(random_.below(tenants.size())));
  slots_->acquire(chosen->second.stream_branch, [this](admission::SlotOutcome outcome) {
    if (outcome.permit) {
      ++slots_granted_;
      permits_.push_back(std::move(outcome.permit));
    } else {
      ++slots_rejected_;
    }
  });
}

void LightweightFront::recordVersion(const journal::Event& event) {
  const bool applied = event.subject == journal::Subject::Configuration && event.key == "version";
  if (applied) {
    const std::uint64_t before = std::exchange(version_, event.version);
    applied_(before, event.version);
  }
}

void LightweightFront::completePending() {
  for (const std::uint64_t ticket : std::exchange(pending_tickets_, {})) {
    routing::Completion completion;
    completion.ticket = ticket;
    completion.output_tokens = OutputTokens;
    completion.uncached_tokens = PromptTokens;
    completion.time_to_first_token = FirstToken;
    completion.total =
        MinimumServiceTime + std::chrono::milliseconds(random_.below(ServiceTimeSpreadMs));
    node_.router().complete(completion);
  }
}

routing::Prompt LightweightFront::drawPrompt(const configuration::Route& route) {
  routing::Prompt prompt;
  prompt.model = route.models[random_.below(route.models.size())];
  prompt.prompt_tokens = PromptTokens;
  prompt.maximum_tokens = OutputTokens;
  return prompt;
}

void LightweightFront::placePrompts(std::size_t count) {
  completePending();
  permits_.clear();
  const dissemination::ViewPtr& view = node_.replica().view();
  for (const auto& [name, route] : view->routes) {
    if (route.service != configuration::CompletionsService || route.models.empty()) {
      continue;
    }
    for (std::size_t index = 0; index < count; ++index) {
      if (options_.acquire_slots) {
        acquireSlot();
      }
      const routing::Prompt prompt = drawPrompt(route);
      if (const auto placement = node_.router().choose(prompt, route, {})) {
        pending_tickets_.push_back(placement->ticket);
      }
    }
    return;
  }
}

}  // namespace switchsaddle::lightweight_fronts
