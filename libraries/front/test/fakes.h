#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/claims/claim_client.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** Claims in memory with the same state transitions as at the core. */
class FakeClaims : public claims::ClaimClient {
 public:
  void begin(const wire::ClaimBegin& request, claims::ClaimCallback callback) override {
    wire::ClaimReply& claim = records[request.idempotency_key];
    const bool claimable = claim.run.empty() || claim.state == wire::ClaimState::NotRun;
    if (records_begins && claimable && claim.run != request.run) {
      claim.state = wire::ClaimState::InFlight;
      claim.run = request.run;
      claim.fingerprint = request.fingerprint;
    }
    deliver(claim, claim.run == request.run && claim.state == wire::ClaimState::InFlight,
            begins_available, std::move(callback));
  }
  void finish(const wire::ClaimFinish& request, claims::ClaimCallback callback) override {
    wire::ClaimReply& claim = records[request.idempotency_key];
    const bool holder = claim.state == wire::ClaimState::InFlight && claim.run == request.run;
    if (finishes_available && holder) {
      claim.state = request.state;
      claim.answer = request.answer;
    }
    deliver(claim, claim.run == request.run && claim.state == request.state, finishes_available,
            std::move(callback));
  }
  /** Delivers the withheld replies. */
  void release() {
    withheld = false;
    while (!pending_replies.empty()) {
      answerNext();
    }
  }
  /** Delivers the oldest withheld reply. */
  void answerNext() {
    const auto answer = std::move(pending_replies.front());
    pending_replies.pop_front();
    answer();
  }
  wire::ClaimState state(const std::string& key) { return records[key].state; }

  bool begins_available = true;
  bool records_begins = true;
  bool finishes_available = true;
  bool withheld = false;
  /** Runs before each reply to begin(). */
  std::function<void()> before_begin_answer;
  std::map<std::string, wire::ClaimReply> records;
  std::deque<std::function<void()>> pending_replies;

 private:
  void deliver(const wire::ClaimReply& claim, bool won, bool available,
               claims::ClaimCallback callback) {
    wire::ClaimReply reply;
    if (available) {
      reply = claim;
      reply.available = true;
      reply.recorded = won;
    }
    if (withheld) {
      pending_replies.push_back([reply, callback = std::move(callback)] { callback(reply); });
      return;
    }
    if (before_begin_answer) {
      before_begin_answer();
    }
    callback(reply);
  }
};

/** Grants or rejects slots as the test sets; counts those in use. */
class FakeSlots : public admission::SlotBroker {
 public:
  void acquire(const std::string& /*branch*/,
               std::function<void(admission::SlotOutcome)> callback) override {
    if (unresponsive) {
      waiting.push_back(std::move(callback));
      return;
    }
    admission::SlotOutcome outcome;
    outcome.code = code;
    if (code == base::ResultCode::Ok) {
      outcome.permit = std::make_unique<Permit>(*this);
    }
    callback(std::move(outcome));
  }

  /** Grants a slot to the latest queued request. */
  void grantWaiting() {
    const auto next = std::move(waiting.back());
    waiting.pop_back();
    admission::SlotOutcome outcome;
    outcome.code = base::ResultCode::Ok;
    outcome.permit = std::make_unique<Permit>(*this);
    next(std::move(outcome));
  }

  base::ResultCode code = base::ResultCode::Ok;
  bool unresponsive = false;
  /** If true, a released slot is granted to a queued request at once. */
  bool passes_on = false;
  std::vector<std::function<void(admission::SlotOutcome)>> waiting;
  std::shared_ptr<int> in_use = std::make_shared<int>(0);

  /** Grants a slot to each queued request. */
  void serveWaiting() {
    for (const auto& callback : std::exchange(waiting, {})) {
      admission::SlotOutcome outcome;
      outcome.code = base::ResultCode::Ok;
      outcome.permit = std::make_unique<Permit>(*this);
      callback(std::move(outcome));
    }
  }

 private:
  class Permit : public admission::SlotPermit {
   public:
    explicit Permit(FakeSlots& slots) : slots_(slots), in_use_(slots.in_use) { ++*in_use_; }
    ~Permit() override {
      --*in_use_;
      if (slots_.passes_on && !slots_.waiting.empty()) {
        slots_.grantWaiting();
      }
    }

   private:
    FakeSlots& slots_;
    std::shared_ptr<int> in_use_;
  };
};

/** A session whose state the test sets. */
class FakeSession : public sessions::SessionClient {
 public:
  void start() override {}
  void close(std::function<void()> closed) override { closed(); }
  sessions::SessionState state() const override { return now; }
  void setApplied(std::uint64_t, std::uint64_t) override {}
  const std::vector<base::NodeAddress>& coreAddresses() const override { return none; }
  const std::vector<base::NodeAddress>& frontAddresses() const override { return none; }

  sessions::SessionState now = sessions::SessionState::Serving;
  std::vector<base::NodeAddress> none;
};

/** Records the requests that are sent, with their observers, which the test calls. */
class FakeWorkers : public WorkerPort {
 public:
  class Call : public WorkerCall {
   public:
    void cancel() override { cancelled = true; }
    bool cancelled = false;
  };
  struct Sent {
    WorkerRequest request;
    std::shared_ptr<WorkerObserver> observer;
    std::shared_ptr<Call> call;

    void head(std::uint16_t status = 200, const std::string& run = "r1") const {
      WorkerHead head;
      head.status = status;
      head.request_id = request.request_id;
      head.run = run;
      observer->onHead(head);
    }
    /** Rejects the request, with or without Not-Run. */
    void refuse(bool not_run, const std::string& request_id) const {
      WorkerHead head;
      head.status = 503;
      head.request_id = request_id;
      head.not_run = not_run;
      observer->onHead(head);
    }
    void bytes(const std::string& text) const {
      observer->onBytes(text, [] {});
    }
  };

  WorkerCallPtr send(const WorkerRequest& request,
                     std::shared_ptr<WorkerObserver> observer) override {
    sent.push_back(Sent{request, std::move(observer), std::make_shared<Call>()});
    return sent.back().call;
  }

  /** A deque, so that references stay valid. */
  std::deque<Sent> sent;
};

/** A view of the fleet that the test sets; records observations. */
class FakeFleetView : public FleetView {
 public:
  /** A key that is in force until the test removes it. */
  static constexpr const char* KeyHash = "key-hash";

  FakeFleetView() { view.keys[KeyHash] = configuration::Key{"caller", KeyHash, "editors"}; }
  std::shared_ptr<const configuration::View> configuration() const override {
    return std::make_shared<configuration::View>(view);
  }
  workers::WorkerSnapshotPtr workers() const override {
    return std::make_shared<workers::WorkerSnapshot>(snapshot);
  }
  void observeDraining(const workers::Worker& worker) override {
    draining.push_back(worker.entry.id);
  }
  void observeRefused(const workers::Worker& worker) override {
    refused.push_back(worker.entry.id);
  }
  workers::Worker& addWorker(const std::string& id, const std::string& service) {
    workers::Worker& worker = snapshot.workers[id];
    worker.entry.id = id;
    worker.entry.zone = "zone-" + id;
    worker.entry.service = service;
    worker.entry.address = {"127.0.0.1", static_cast<std::uint16_t>(snapshot.workers.size())};
    return worker;
  }

  configuration::View view;
  workers::WorkerSnapshot snapshot;
  std::vector<std::string> draining;
  std::vector<std::string> refused;
};

/** Chooses the first worker that is not excluded; collects completions. */
class FakeRouter : public routing::Router {
 public:
  void setConfiguration(std::shared_ptr<const configuration::View>) override {}
  void setWorkers(workers::WorkerSnapshotPtr) override {}
  void setFronts(const std::vector<base::NodeAddress>&) override {}
  std::optional<routing::Placement> choose(const routing::Prompt&, const configuration::Route&,
                                           const std::vector<std::string>& excluded) override {
    for (const workers::Worker& worker : workers) {
      if (std::find(excluded.begin(), excluded.end(), worker.entry.id) == excluded.end()) {
        routing::Placement placement;
        placement.prefill = worker;
        placement.ticket = ++tickets;
        placement.first_token_estimate = estimate;
        return placement;
      }
    }
    return std::nullopt;
  }
  void complete(const routing::Completion& completion) override {
    completions.push_back(completion);
  }
  void recordFirstToken(std::uint64_t) override { ++first_tokens; }
  wire::FrontLoad exportLoads() const override { return {}; }
  void importLoads(const wire::FleetLoad&) override {}
  std::vector<routing::RoutingRow> table(const std::string&) const override { return {}; }
  std::vector<wire::RouteScore> exportScores() const override { return {}; }
  void importScores(const std::vector<wire::RouteScore>&) override {}

  std::vector<workers::Worker> workers;
  base::Duration estimate{};
  std::uint64_t tickets = 0;
  std::uint64_t first_tokens = 0;
  std::vector<routing::Completion> completions;
};

}  // namespace switchsaddle::front
