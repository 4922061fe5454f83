#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/front/worker_calls/forward_port.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::front {

/** Records dispatches with their observers, which the test calls. */
class FakeForwardPort : public ForwardPort {
 public:
  class Call : public WorkerCall {
   public:
    void cancel() override { cancelled = true; }
    bool cancelled = false;
  };
  struct Sent {
    ForwardDispatch dispatch;
    std::shared_ptr<ForwardObserver> observer;
    std::shared_ptr<Call> call;

    void head(std::uint16_t status, std::vector<http::Header> headers = {}) const {
      headers.push_back({"Request-Id", dispatch.request_id});
      headers.push_back({"Seal", "sealed"});
      observer->onHead({status, headers, {}});
    }
    void bytes(const std::string& text) const {
      observer->onBytes(text, [] {});
    }
    void answer(std::uint16_t status, const std::string& body) const {
      head(status);
      bytes(body);
      observer->onComplete();
    }
    void reject() const { observer->onHead({503, {{"Not-Run", "1"}}, {}}); }
    void lose() const { observer->onFailure(WorkerFailure::Lost, false); }
    std::string header(const std::string& name) const {
      return std::string(dispatch.message.header(name));
    }
  };

  WorkerCallPtr forward(ForwardDispatch dispatch,
                        std::shared_ptr<ForwardObserver> observer) override {
    sent.push_back({std::move(dispatch), std::move(observer), std::make_shared<Call>()});
    return sent.back().call;
  }

  std::deque<Sent> sent;
};

/** Records the response to the caller. */
class ForwardWriter : public http::ResponseWriter {
 public:
  void respond(http::Response value) override {
    EXPECT_FALSE(response || started || aborted);
    response = std::move(value);
  }
  void startStream(http::Response head) override {
    EXPECT_FALSE(response || started);
    started = std::move(head);
  }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    body += chunk;
    if (slow) {
      pending_writes.push_back(std::move(written));
    } else {
      written(true);
    }
  }
  void endStream() override { ended = true; }
  void abort() override { aborted = true; }
  void onClientDisconnected(std::function<void()> callback) override {
    disconnected = std::move(callback);
  }

  std::optional<http::Response> response;
  std::optional<http::Response> started;
  std::string body;
  bool ended = false;
  bool aborted = false;
  bool slow = false;
  std::deque<std::function<void(bool)>> pending_writes;
  std::function<void()> disconnected;
};

}  // namespace switchsaddle::front
