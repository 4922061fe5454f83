#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attempt/active_call.h"
#include "attempt/attempt_list.h"
#include "attempt/request_deadline.h"
#include "attempt/response_memory.h"
#include "forward/forward_log.h"
#include "switchsaddle/front/forward/forward_flow.h"
#include "switchsaddle/front/request/caller_connection.h"
#include "switchsaddle/streams/event_splitter.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::front {

/**
 * One forwarded request from its quota decision to its end. Owned by its flow until it has ended;
 * its callbacks hold it weakly.
 *
 * Invariants: events of a dispatch are used only while it is the current one. Each placement is
 * completed once. A "not run" rejection is sent only if no worker can have run the request.
 *
 * Invariant of resending: a request that must not run twice is sent again only after proof that no
 * worker has run it: no byte of it was sent, or its worker refused it. A refusal is proof only if
 * nothing but this dispatch can have caused it. The request's id does not show that, since it names
 * the request and not the dispatch; therefore
 * - a request that must run once has a connection of its own, and no connection on which an error
 *   was read is used again;
 * - no such request is sent to an address twice;
 * - neither a head that joins two responses nor a refusal behind a discarded response is believed.
 *
 * Runs on the control strand.
 */
class ForwardRun : public std::enable_shared_from_this<ForwardRun> {
 public:
  ForwardRun(ForwardFlow& flow, ForwardRequest request, http::ResponseWriterPtr writer);

  void start();
  /** The caller has disconnected: cancels the call to the worker and sends no response. */
  void cancel();
  /** Continues a resumable stream at another worker if its worker is in maintenance. */
  void migrateFromMaintenance(const configuration::View& view);
  /** Ends the run with the most precise response that its dispatches allow. */
  void answerEarly();
  /** Ends the run without a response, since its flow is being destroyed. */
  void abandon();

  // Events of a dispatch, by its number; ignored unless it is the current one.
  void onHead(std::uint64_t dispatch, const http::Response& head);
  void onBytes(std::uint64_t dispatch, const std::string& bytes, std::function<void()> resume);
  void onComplete(std::uint64_t dispatch);
  void onFailure(std::uint64_t dispatch, WorkerFailure failure, bool refused);

 private:
  // Admission, placement and dispatch.
  /** Acquires the request's units of its tenant's quota, then places the request. */
  void acquireQuota();
  AdmittedUnits onQuota(const QuotaMeter::Decision& retry_after, double units);
  void place();
  void send(ForwardPlacement placement);
  /** Logs the dispatch if the request has been dispatched before. */
  void logIfResent() const;
  void resetDispatch(ForwardPlacement placement);
  void reportDispatchToHealth();
  ForwardDispatch dispatchMessage() const;
  base::Duration timeLimit() const;
  bool needsOwnConnection() const;

  // Ends of dispatches and retries.
  /** The worker has provably not run the request. */
  void onNotRun(base::ResultCode code);
  /** The worker may have run the request, and its response is lost. */
  void onLost(base::ResultCode code);
  bool mayRetryAfterLoss();
  bool hasTimeForRetry() const;
  bool canResumeElsewhere() const;
  bool acquireRetry();
  void endDispatch(worker_health::DispatchEnd end);
  /** Keeps for the log why the current dispatch ends without an answer for the caller. */
  void recordEnd(base::ResultCode code);
  ConnectionEnd connectionAfter(worker_health::DispatchEnd end) const;
  void excludeCurrentWorker(worker_health::DispatchEnd end);
  void reportEndToHealth(worker_health::DispatchEnd end);

  // The response.
  /** Whether the body is relayed event by event; otherwise it is collected. */
  bool isRelayed() const;
  void collect(const std::string& bytes);
  /** Counts what the run holds of responses. @return false if there is no room for it. */
  bool takeResponseMemory();
  void beginStream();
  void relay(const std::vector<streams::RawEvent>& events);
  void onFirstEvent();
  /** Measures the times between events for the worker's health. */
  void measureEvent();
  /** Records why the first event is late, if it is. */
  void recordLateness();
  void recordLoss(ForwardLoss loss);
  void writeEvents(std::string bytes);
  /** @param bytes size of the chunk. */
  void onWritten(WriteOutcome outcome, std::size_t bytes);
  void resumeReading();
  void finishStream();
  void answerComplete();
  void onDeadline();
  /** Gives up the current dispatch, if any, whose worker may run the request. */
  void abandonDispatch(base::ResultCode code);

  // The end of the request.
  /** Ends the request with the most precise result that its dispatches allow. */
  void fail(base::ResultCode code);
  void answerUnknown(base::ResultCode code);
  void reject(base::ResultCode code, base::Duration retry_after);
  void answer(http::Response response, std::string_view outcome, base::ResultCode code);
  void abortStream(base::ResultCode code);
  void release();
  bool isCurrent(std::uint64_t dispatch) const { return !ended_ && dispatch == dispatch_; }

  ForwardFlow& flow_;
  ForwardEnvironment& environment_;
  ForwardRequest request_;
  CallerConnection caller_;
  const configuration::ForwardPool& pool_;
  AttemptList attempts_;
  RequestDeadline deadline_;
  base::TimePoint started_at_;
  bool ended_ = false;
  ResponseMemory response_memory_;
  double acquired_quota_units_ = 0;

  /** Dispatches that ended without having run. */
  std::uint32_t not_run_ = 0;
  /** Dispatches that may have run. */
  std::uint32_t may_have_run_ = 0;
  /** Dispatches that count against the limit of a request; excludes those that were not sent. */
  std::uint32_t counted_dispatches_ = 0;
  /** A worker's error response, which the caller gets if no other worker succeeds. */
  std::optional<http::Response> worker_error_;

  // The current dispatch.
  /** Number of the current dispatch; incremented by each dispatch and by the end of the run. */
  std::uint64_t dispatch_ = 0;
  std::optional<ForwardPlacement> placement_;
  ActiveCall call_;
  /** Status of the current dispatch's response; 0 until its head is read. */
  std::uint16_t status_ = 0;
  /** The last dispatch that ended without an answer for the caller. */
  std::optional<EndedDispatch> ended_dispatch_;
  base::TimePoint dispatched_at_;
  std::optional<http::Response> head_;
  std::string body_;
  routing::Completion completion_;
  std::uint32_t events_of_dispatch_ = 0;
  std::uint64_t health_number_ = 0;
  worker_health::DispatchSample sample_;
  base::TimePoint first_event_at_;
  base::TimePoint last_event_at_;

  // The stream to the caller.
  bool stream_started_ = false;
  streams::EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_id_;
  /** Chunks that the caller's connection has not accepted yet. */
  std::size_t outstanding_ = 0;
  std::size_t outstanding_bytes_ = 0;
  /** Resumes reading from the worker; empty while reading continues. */
  std::function<void()> resume_;
};

}  // namespace switchsaddle::front
