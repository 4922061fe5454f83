#include "switchsaddle/registers/acceptor.h"

#include <algorithm>
#include <utility>

#include "acceptor_members.h"
#include "acceptor_records.h"
#include "acceptor_storage.h"
#include "pending_answers.h"
#include "register_table.h"

namespace switchsaddle::registers {

namespace {

wire::RegisterScanEntry makeEntry(const std::string& key, const RegisterState& state) {
  return {key, state.promised, state.accepted, state.value, state.lineage};
}

bool allInstancesKnown(const std::vector<wire::AcceptorMember>& members) {
  return !members.empty() && !containsInstance(members, 0);
}

std::vector<storage::Record> single(storage::Record record) {
  std::vector<storage::Record> records;
  records.push_back(std::move(record));
  return records;
}

}  // namespace

Acceptor::Acceptor(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                   storage::RecordStore& store, journal::Journal& journal, AcceptorOptions options)
    : calls_(calls),
      journal_(journal),
      options_(options),
      registers_(std::make_unique<RegisterTable>(dispatcher)),
      expiry_timer_(dispatcher.createTimer([this] { removeExpired(); })),
      pending_answers_(std::make_unique<PendingAnswers>(
          dispatcher, options.commit_bound,
          [this] { return emptyReply(wire::RegisterVerdict::Unavailable); })),
      storage_(std::make_unique<AcceptorStorage>(
          dispatcher, store, journal, options.reopen_pause,
          [this](const storage::OpenedStore& opened) { load(opened); })) {
  registerHandlers();
}

Acceptor::~Acceptor() = default;

void Acceptor::registerHandlers() {
  calls_.handle<wire::PrepareRequest>([this](const auto&, const wire::PrepareRequest& request,
                                             auto reply) { onPrepare(request, std::move(reply)); });
  calls_.handle<wire::AcceptRequest>([this](const auto&, const wire::AcceptRequest& request,
                                            auto reply) { onAccept(request, std::move(reply)); });
  calls_.handle<wire::RegisterScanRequest>(
      [this](const auto&, const wire::RegisterScanRequest& request, auto reply) {
        reply(scan(request.after, request.limit));
      });
  calls_.handle<wire::RegisterInstallRequest>(
      [this](const auto&, const wire::RegisterInstallRequest& request, auto reply) {
        onRegisterInstall(request, std::move(reply));
      });
  calls_.handle<wire::AcceptorSetInstallRequest>(
      [this](const auto&, const wire::AcceptorSetInstallRequest& request, auto reply) {
        onSetInstall(request, std::move(reply));
      });
}

void Acceptor::load(const storage::OpenedStore& opened,
                    const std::vector<wire::AcceptorMember>& initial_members) {
  registers_->clear();
  damaged_.clear();
  acceptor_set_ = {};
  instance_ = opened.instance;
  const auto stored_set = opened.records.find(AcceptorSetRecord);
  if (stored_set != opened.records.end()) {
    acceptor_set_ = decodeAcceptorSet(stored_set->second);
  }
  registers_->load(opened.records);
  storage_->markLoaded();
  if (acceptor_set_.epoch != 0) {
    adoptSet(acceptor_set_);
  } else if (allInstancesKnown(initial_members)) {
    installSet(wire::AcceptorSet{1, initial_members, {}}, [](bool) {});
  }
}

bool Acceptor::loaded() const {
  return storage_->loaded();
}

bool Acceptor::mayVote() const {
  return storage_->usable() && containsInstance(acceptor_set_, instance_);
}

bool Acceptor::hasState() const {
  return acceptor_set_.epoch != 0 || !registers_->empty();
}

const std::string* Acceptor::acceptedValue(const std::string& key) const {
  const RegisterState* state = registers_->find(key);
  return state != nullptr && !state->accepted.isZero() ? &state->value : nullptr;
}

std::size_t Acceptor::registerCount() const {
  return registers_->size();
}

wire::RegisterReply Acceptor::emptyReply(wire::RegisterVerdict verdict) const {
  wire::RegisterReply reply;
  reply.verdict = verdict;
  reply.instance = instance_;
  return reply;
}

std::optional<wire::RegisterReply> Acceptor::rejection(std::uint64_t set_epoch) const {
  if (set_epoch == acceptor_set_.epoch && mayVote()) {
    return std::nullopt;
  }
  const bool sender_lags = storage_->usable() && set_epoch < acceptor_set_.epoch;
  wire::RegisterReply reply = emptyReply(sender_lags ? wire::RegisterVerdict::OtherAcceptorSet
                                                     : wire::RegisterVerdict::Unavailable);
  reply.newer_set = acceptor_set_;
  return reply;
}

void Acceptor::onPrepare(const wire::PrepareRequest& request, transport::ReplyFunction reply) {
  if (const auto rejected = rejection(request.set_epoch)) {
    reply(*rejected);
    return;
  }
  if (damaged_.contains(request.key)) {
    reply(emptyReply(wire::RegisterVerdict::Unavailable));
    return;
  }
  const wire::Ballot promised = registers_->promisedBallot(request.key);
  if (request.ballot < promised) {
    wire::RegisterReply answer = emptyReply(wire::RegisterVerdict::Refused);
    answer.promised = promised;
    reply(answer);
    return;
  }
  const RegisterState& state = registers_->prepare(request.key, request.ballot);
  wire::RegisterReply answer = emptyReply(wire::RegisterVerdict::Granted);
  answer.promised = state.promised;
  answer.accepted = state.accepted;
  answer.value = state.value;
  answer.lineage = state.lineage;
  commitAnswer(registers_->record(request.key), answer, std::move(reply), [] {});
}

void Acceptor::onAccept(const wire::AcceptRequest& request, transport::ReplyFunction reply) {
  if (const auto rejected = rejection(request.set_epoch)) {
    reply(*rejected);
    return;
  }
  const wire::Ballot promised = registers_->promisedBallot(request.key);
  if (request.ballot < promised) {
    wire::RegisterReply answer = emptyReply(wire::RegisterVerdict::Refused);
    answer.promised = promised;
    reply(answer);
    return;
  }
  registers_->accept(request.key, request.ballot, request.value, request.lineage);
  wire::RegisterReply answer = emptyReply(wire::RegisterVerdict::Granted);
  answer.promised = request.ballot;
  answer.accepted = request.ballot;
  commitAnswer(registers_->record(request.key), answer, std::move(reply),
               [this, key = request.key, value = request.value] {
                 damaged_.erase(key);
                 if (accepted_listener_) {
                   accepted_listener_(key, value);
                 }
               });
}

void Acceptor::commitAnswer(storage::Record record, const wire::RegisterReply& answer,
                            transport::ReplyFunction reply, std::function<void()> after_commit) {
  if (options_.test_answer_before_sync) {
    reply(answer);
    reply = [](const wire::Message&) {};
  }
  const auto pending = pending_answers_->add(std::move(reply));
  storage_->commit(
      single(std::move(record)),
      [this, pending, answer, after_commit = std::move(after_commit)](bool synced) {
        pending->send(synced ? answer : emptyReply(wire::RegisterVerdict::Unavailable));
        if (synced) {
          after_commit();
        }
      });
}

void Acceptor::reportCommitFailure(base::ResultCode code) {
  storage_->reportCommitFailure(code);
}

void Acceptor::adoptSet(const wire::AcceptorSet& set) {
  acceptor_set_ = set;
  journal_.append(journal::Subject::AcceptorSet, AcceptorSetRecord,
                  std::to_string(set.members.size()) + " members, " +
                      std::to_string(set.previous.size()) + " previous",
                  set.epoch);
  for (const SetListener& listener : set_listeners_) {
    listener(set);
  }
}

storage::Record Acceptor::setRecord() const {
  return {AcceptorSetRecord, encodeAcceptorSet(acceptor_set_), false};
}

void Acceptor::onSetInstall(const wire::AcceptorSetInstallRequest& request,
                            transport::ReplyFunction reply) {
  if (!loaded()) {
    reply(wire::AcceptorSetInstallReply{});
    return;
  }
  installSet(request.acceptor_set, [this, reply = std::move(reply)](bool synced) {
    reply(wire::AcceptorSetInstallReply{synced, acceptor_set_, instance_});
  });
}

void Acceptor::installSet(const wire::AcceptorSet& set, InstallCallback callback) {
  if (!loaded()) {
    callback(false);
    return;
  }
  if (set.epoch > acceptor_set_.epoch) {
    adoptSet(set);
  }
  storage_->commit(single(setRecord()), std::move(callback));
}

void Acceptor::onRegisterInstall(const wire::RegisterInstallRequest& request,
                                 transport::ReplyFunction reply) {
  if (!mayVote() || request.set_epoch > acceptor_set_.epoch) {
    reply(wire::RegisterInstallReply{false, instance_});
    return;
  }
  installRegisters(request.entries, request.removed_floor,
                   [this, reply = std::move(reply)](bool synced) {
                     reply(wire::RegisterInstallReply{synced, instance_});
                   });
}

void Acceptor::installRegisters(const std::vector<wire::RegisterScanEntry>& entries,
                                const wire::Ballot& removed_floor, InstallCallback callback) {
  using CopyResult = RegisterTable::CopyResult;
  bool all_current = true;
  std::vector<storage::Record> records;
  if (registers_->inheritFloor(removed_floor)) {
    records.push_back(registers_->updateRemovedRecord());
  }
  std::vector<std::string> accepted_keys;
  for (const wire::RegisterScanEntry& copy : entries) {
    const CopyResult result = registers_->acceptCopy(copy);
    if (result == CopyResult::Accepted) {
      accepted_keys.push_back(copy.key);
    }
    if (result == CopyResult::PromisedHigher || result == CopyResult::BelowFloor) {
      all_current = false;
    }
    if (result != CopyResult::BelowFloor) {
      records.push_back(registers_->record(copy.key));
    }
  }
  if (records.empty()) {
    callback(all_current);
    return;
  }
  storage_->commit(std::move(records), [this, accepted_keys = std::move(accepted_keys), all_current,
                                        callback = std::move(callback)](bool synced) {
    if (synced) {
      notifyAccepted(accepted_keys);
    }
    callback(synced && all_current);
  });
}

void Acceptor::notifyAccepted(const std::vector<std::string>& keys) {
  if (!accepted_listener_) {
    return;
  }
  for (const std::string& key : keys) {
    if (const std::string* value = acceptedValue(key)) {
      accepted_listener_(key, *value);
    }
  }
}

wire::RegisterScanReply Acceptor::scan(const std::string& after, std::uint32_t limit) const {
  wire::RegisterScanReply reply;
  reply.instance = instance_;
  reply.set_epoch = acceptor_set_.epoch;
  reply.complete = mayVote() && damaged_.empty();
  reply.removed_floor = registers_->removedFloor();
  if (!storage_->usable()) {
    // Memory may contain changes whose commit failed.
    reply.done = true;
    return reply;
  }
  const std::uint32_t bound = std::min(std::max(limit, 1U), options_.scan_limit);
  auto position = registers_->upperBound(after);
  while (position != registers_->end() && reply.entries.size() < bound) {
    reply.entries.push_back(makeEntry(position->first, position->second));
    ++position;
  }
  reply.done = position == registers_->end();
  return reply;
}

std::optional<wire::RegisterScanEntry> Acceptor::entry(const std::string& key) const {
  const RegisterState* state = registers_->find(key);
  return state == nullptr ? std::nullopt : std::optional(makeEntry(key, *state));
}

void Acceptor::setLifetimeSource(LifetimeSource source) {
  registers_->setLifetimeSource(std::move(source));
  expiry_timer_->enable(options_.expiry_interval);
}

bool Acceptor::mayExpire(const std::string& key) const {
  return registers_->mayExpire(key);
}

void Acceptor::removeExpired() {
  expiry_timer_->enable(options_.expiry_interval);
  if (!mayVote()) {
    return;
  }
  const bool raise_floor = !options_.test_skip_floor;
  std::vector<storage::Record> records;
  for (const std::string& key : registers_->removeExpired(raise_floor)) {
    damaged_.erase(key);
    records.push_back({RegisterRecordPrefix + key, {}, true});
  }
  if (records.empty() && !registers_->runningTimeIsStale()) {
    return;
  }
  // One commit, so that no register is removed from the store without the floor that covers it.
  records.push_back(registers_->updateRemovedRecord());
  storage_->commit(std::move(records), [](bool) {});
}

std::optional<std::string> Acceptor::markDamaged(const std::string& record_key) {
  const std::string prefix = RegisterRecordPrefix;
  std::vector<storage::Record> records;
  std::optional<std::string> damaged_register;
  if (record_key == AcceptorSetRecord) {
    records.push_back(setRecord());
  } else if (record_key == RemovedRegistersRecord) {
    records.push_back(registers_->updateRemovedRecord());
  } else if (record_key.starts_with(prefix)) {
    const std::string key = record_key.substr(prefix.size());
    if (registers_->find(key) != nullptr) {
      damaged_register = key;
      damaged_.insert(key);
      records.push_back(registers_->record(key));
    }
  }
  if (!records.empty()) {
    journal_.append(journal::Subject::Storage, record_key, "damaged", 0);
    storage_->commit(std::move(records), [](bool) {});
  }
  return damaged_register;
}

std::vector<storage::Record> Acceptor::records() const {
  std::vector<storage::Record> records;
  if (!storage_->usable()) {
    return records;
  }
  records.push_back(setRecord());
  records.push_back(registers_->removedRecord());
  for (auto position = registers_->upperBound({}); position != registers_->end(); ++position) {
    records.push_back(registers_->record(position->first));
  }
  return records;
}

}  // namespace switchsaddle::registers
