#include "switchsaddle/registers/quorum_proposer.h"

#include <algorithm>
#include <utility>

#include "key_proposer.h"

namespace switchsaddle::registers {

QuorumProposer::QuorumProposer(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                               base::RandomSource& random, Acceptor& acceptor,
                               ProposerOptions options)
    : dispatcher_(dispatcher),
      calls_(calls),
      random_(random),
      acceptor_(acceptor),
      options_(options),
      proposer_id_(random.next()) {}

QuorumProposer::~QuorumProposer() = default;

void QuorumProposer::change(const std::string& key, ChangeFunction function,
                            RegisterCallback callback) {
  enqueue(key, std::move(function), std::move(callback), false);
}

void QuorumProposer::read(const std::string& key, RegisterCallback callback) {
  enqueue(
      key, [](const std::string&) { return std::nullopt; }, std::move(callback), false);
}

void QuorumProposer::rewrite(const std::string& key, RegisterCallback callback) {
  enqueue(
      key, [](const std::string&) { return std::nullopt; }, std::move(callback), true);
}

void QuorumProposer::enqueue(const std::string& key, ChangeFunction function,
                             RegisterCallback callback, bool rewrite) {
  ++counters_.operations;
  std::shared_ptr<KeyProposer>& proposer = keys_[key];
  if (!proposer) {
    proposer = std::make_shared<KeyProposer>(*this, key);
  }
  RegisterOperation operation;
  operation.function = std::move(function);
  operation.callback = std::move(callback);
  operation.deadline = dispatcher_.now() + options_.operation_deadline;
  operation.rewrite = rewrite;
  proposer->enqueue(std::move(operation));
}

wire::Ballot QuorumProposer::nextBallot() {
  return {++last_round_, proposer_id_};
}

void QuorumProposer::observe(const wire::Ballot& ballot) {
  last_round_ = std::max(last_round_, ballot.round);
}

void QuorumProposer::releaseIfIdle(const std::string& key) {
  dispatcher_.post(callbacks_.guard([this, key] {
    const auto found = keys_.find(key);
    if (found != keys_.end() && found->second->idle()) {
      keys_.erase(found);
    }
  }));
}

}  // namespace switchsaddle::registers
