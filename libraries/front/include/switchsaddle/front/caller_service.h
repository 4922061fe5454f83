#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/control_forwarder.h"
#include "switchsaddle/front/counters.h"
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/forward_flow.h"
#include "switchsaddle/front/one_shot_flow.h"
#include "switchsaddle/front/stage.h"
#include "switchsaddle/front/stream_flow.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** What the HTTP side works on; all outlive the service. */
struct CallerDependencies {
  base::Dispatcher& dispatcher;
  const sessions::SessionClient& session;
  FleetView& beliefs;
  const routing::Router& router;
  StreamFlow& streams;
  OneShotFlow& one_shots;
  ControlForwarder& control;
  Counters& counters;
  /** Hashes of the first operators' keys, from the settings. */
  std::vector<std::string> operator_hashes;
  /** The body of GET /v1/beliefs. */
  std::function<std::string()> state_report;
  /** The body of GET /metrics. */
  std::function<std::string()> metrics;
  /** What GET /v1/routing tells of this node, as a JSON object. */
  std::function<std::string()> node_report;
  /** Where one-shots of unknown outcome are told; nowhere if left out. */
  base::IncidentSink* incidents = nullptr;
  /** Null: nothing is forwarded. */
  ForwardFlow* forwards = nullptr;
  ForwardHeaders forward_headers = {};
  configuration::LapsedSession lapsed_session = configuration::LapsedSession::Refuse;
};

/**
 * Answers HTTP requests: parses and authenticates them and hands them to the flows. Each writer is
 * answered exactly once unless the service is destroyed before. Runs on the control strand, except
 * enqueue().
 *
 * A one-shot that is refused before its claim was read is answered "unknown": it may be a resend of
 * one that ran.
 */
class CallerService {
 public:
  /** Requests that may wait for the control strand. */
  static constexpr std::size_t QueueBound = 1'024;

  explicit CallerService(CallerDependencies dependencies);
  CallerService(const CallerService&) = delete;
  CallerService& operator=(const CallerService&) = delete;

  /** Hands a request over from any thread; QueueFull at once where too many wait. */
  void enqueue(http::Request request, http::ResponseWriterPtr writer);
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** From now on the node reports itself as not ready, and new work is refused with Stopping; but
   * forwarded requests are taken until stopForwarding(). */
  void stop() { stopping_ = true; }
  void stopForwarding() { forwarding_stopped_ = true; }
  /** Requests refused since too many waited for the control strand. */
  std::uint64_t queueRefusals() const { return queue_refusals_.load(); }
  bool ready() const;

 private:
  void route(const http::Request& request, const http::ResponseWriterPtr& writer);
  /** Whether the request is for forwarding: no other path of this node's is meant. */
  bool isForwarded(const http::Request& request) const;
  void forward(const http::Request& request, const http::ResponseWriterPtr& writer);
  bool servesForwarding() const;
  void handleCompletion(const http::Request& request, const http::ResponseWriterPtr& writer);
  void handleOneShot(const http::Request& request, const http::ResponseWriterPtr& writer);
  http::Response plainAnswer(const http::Request& request, std::string_view path) const;
  void countOneShot(const OneShotRequest& request, const OneShotAnswer& answer);
  http::Response routingTable(const http::Request& request) const;
  http::Response stateReport(const http::Request& request) const;
  const configuration::Tenant& authenticate(const configuration::View& view,
                                            const http::Request& request) const;
  void checkServing() const;

  CallerDependencies dependencies_;
  bool stopping_ = false;
  bool forwarding_stopped_ = false;
  Stage one_shot_stage_{512, 256};
  std::atomic<std::size_t> waiting_{0};
  std::atomic<std::uint64_t> queue_refusals_{0};
  /** Expires with this object, so that posted requests do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::front
