#include "switchsaddle/front/quota_ledger_client.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/admission/ledger_shard.h"

namespace switchsaddle::front {

namespace {

/** A core that is silent for so long is passed over. */
constexpr base::Duration CoreTimeout = std::chrono::milliseconds(150);
/** The whole of an ask: a request waits for it. */
constexpr base::Duration RequestDeadline = std::chrono::milliseconds(300);
/** Pause after an ask that nobody could answer. */
constexpr base::Duration UnansweredPause = std::chrono::milliseconds(500);

}  // namespace

struct QuotaLedgerClient::Ask {
  wire::QuotaRequest message;
  Callback callback;
  base::TimePoint deadline;
  /** Cores to be asked, next one last. */
  std::vector<base::NodeAddress> cores;
  base::NodeAddress asked;
};

QuotaLedgerClient::QuotaLedgerClient(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                                     std::uint64_t instance, CoreAddresses cores)
    : dispatcher_(dispatcher), calls_(calls), instance_(instance), cores_(std::move(cores)) {}

bool QuotaLedgerClient::reachable() const {
  return dispatcher_.now() >= backoff_until_;
}

std::uint64_t QuotaLedgerClient::settledRequests() const {
  return open_.empty() ? last_number_ : *open_.begin() - 1;
}

void QuotaLedgerClient::ask(const std::string& tenant, std::uint32_t urgency, double units,
                            Callback callback) {
  auto asked = std::make_shared<Ask>();
  asked->message = {tenant,
                    static_cast<float>(units),
                    static_cast<std::uint8_t>(urgency),
                    calls_.localAddress(),
                    instance_,
                    ++last_number_};
  asked->callback = std::move(callback);
  asked->deadline = dispatcher_.now() + RequestDeadline;
  asked->cores = cores_();
  const auto known = ledgers_.find(admission::ledgerShardOf(tenant));
  if (known != ledgers_.end()) {
    std::erase(asked->cores, known->second);
    asked->cores.push_back(known->second);
  }
  open_.insert(last_number_);
  attemptNext(asked);
}

void QuotaLedgerClient::attemptNext(const AskPtr& ask) {
  const base::Duration left = ask->deadline - dispatcher_.now();
  if (ask->cores.empty() || left <= base::Duration::zero()) {
    backoff_until_ = dispatcher_.now() + UnansweredPause;
    dispatcher_.post([this, alive = std::weak_ptr(alive_), ask] {
      if (!alive.expired()) {
        end(ask, std::nullopt);
      }
    });
    return;
  }
  ask->asked = ask->cores.back();
  ask->cores.pop_back();
  calls_.call(ask->asked, ask->message, std::min(left, CoreTimeout),
              [this, alive = std::weak_ptr(alive_), ask](const transport::CallResult& result) {
                if (!alive.expired()) {
                  onAnswer(ask, result);
                }
              });
}

void QuotaLedgerClient::onAnswer(const AskPtr& ask, const transport::CallResult& result) {
  const std::uint32_t shard = admission::ledgerShardOf(ask->message.tenant);
  const auto* answer = result.as<wire::QuotaReply>();
  if (answer == nullptr || !answer->is_ledger) {
    if (ledgers_[shard] == ask->asked) {
      ledgers_.erase(shard);
    }
    attemptNext(ask);
    return;
  }
  ledgers_[shard] = ask->asked;
  if (!answer->known) {
    backoff_until_ = dispatcher_.now() + UnansweredPause;
  }
  end(ask, answer->known ? std::optional(*answer) : std::nullopt);
}

void QuotaLedgerClient::end(const AskPtr& ask, const std::optional<wire::QuotaReply>& answer) {
  // The owner counts a grant within the callback; only then is it settled.
  ask->callback(answer);
  open_.erase(ask->message.number);
}

}  // namespace switchsaddle::front
