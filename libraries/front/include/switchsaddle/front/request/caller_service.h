#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/admission/stage.h"
#include "switchsaddle/front/forward/forward_flow.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"
#include "switchsaddle/front/request/control_forwarder.h"
#include "switchsaddle/front/stream/stream_flow.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** Dependencies of CallerService; all outlive it. */
struct CallerDependencies {
  base::Dispatcher& dispatcher;
  const sessions::SessionClient& session;
  FleetView& fleet_view;
  const routing::Router& router;
  StreamFlow& streams;
  OneShotFlow& one_shots;
  ControlForwarder& control;
  Counters& counters;
  /** Hashes of the operators' keys from the settings. They are in force in addition to those of the
   * configuration. */
  std::vector<std::string> operator_hashes;
  /** Returns the body of GET /v1/beliefs. */
  std::function<std::string()> state_report;
  /** Returns the body of GET /metrics. */
  std::function<std::string()> metrics;
  /** Returns the JSON object that describes this node in GET /v1/routing. */
  std::function<std::string()> node_report;
  /** Receives reports of one-shot requests with an unknown outcome; may be null. */
  base::IncidentSink* incidents = nullptr;
  /** Null if this node forwards no requests. */
  ForwardFlow* forwards = nullptr;
  ForwardHeaders forward_headers = {};
  configuration::ExpiredSessionPolicy expired_session_policy =
      configuration::ExpiredSessionPolicy::Refuse;
};

/**
 * Serves callers' HTTP requests: parses and authenticates them and submits them to the flows.
 *
 * Invariants: each request gets exactly one response unless the service is destroyed first. A
 * one-shot request that is rejected before its claim was read gets "unknown", since the caller may
 * be resending a request that ran. Runs on the control strand, except enqueue().
 */
class CallerService {
 public:
  /** Maximum number of requests queued for the control strand. */
  static constexpr std::size_t QueueBound = 1'024;

  explicit CallerService(CallerDependencies dependencies);
  CallerService(const CallerService&) = delete;
  CallerService& operator=(const CallerService&) = delete;

  /** Queues a request for the control strand; responds with QueueFull if QueueBound requests are
   * queued. Callable from any thread. */
  void enqueue(http::Request request, http::ResponseWriterPtr writer);
  /** Handles a request on the control strand. */
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Begins the graceful shutdown: the node reports itself as not ready and rejects new work with
   * Stopping, but accepts forwarded requests until stopForwarding(). */
  void stop() { stopping_ = true; }
  void stopForwarding() { forwarding_stopped_ = true; }
  /** @return the number of requests rejected because the queue was full. */
  std::uint64_t queueRefusals() const { return queue_refusals_.load(); }
  /** Whether this node accepts new work. */
  bool ready() const { return readiness() == base::ResultCode::Ok; }

 private:
  void route(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Whether the request is forwarded: its host has routes, or its path is not one of this node's
   * own resources. */
  bool isForwarded(const http::Request& request) const;
  void forward(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** @return Ok if this node accepts new work, else the code of the reason. */
  base::ResultCode readiness() const;
  bool servesForwarding() const;
  void reject(const http::Request& request, const base::Error& error,
              const http::ResponseWriterPtr& writer);
  void handleCompletion(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleOneShot(const http::Request& request, const http::ResponseWriterPtr& writer);
  void runStream(StreamRequest stream, bool as_event_stream, const http::ResponseWriterPtr& writer);
  void runOneShot(OneShotRequest request, const http::ResponseWriterPtr& writer,
                  const StageTicket& ticket);
  /** @param incident names the request; reported if its outcome is unknown. */
  void countOneShot(base::Incident incident, const OneShotAnswer& answer);
  /** @throws base::Error with Stopping or NotServing unless new work is accepted. */
  void checkServing() const;

  CallerDependencies dependencies_;
  bool stopping_ = false;
  bool forwarding_stopped_ = false;
  Stage one_shot_stage_{512, 256};
  /** Requests queued for the control strand. */
  std::atomic<std::size_t> queued_{0};
  std::atomic<std::uint64_t> queue_refusals_{0};
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::front
