#pragma once

#include <memory>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/http/server.h"
#include "workers/stream_run.h"

namespace switchsaddle::testbed {

/** The header that a prefill worker sends to the decode worker: the prefill is done. */
inline constexpr const char* PrefilledHeader = "Prefilled";

/**
 * The prefill side of a prefill and decode pair. Occupies a slot during the prefill, then requests
 * the stream from the decode worker and relays its head and bytes unchanged. Reads the next bytes
 * only after the client has accepted the previous ones.
 */
class DecodeRelay : public PendingRequest,
                    public http::ExchangeObserver,
                    public std::enable_shared_from_this<DecodeRelay> {
 public:
  DecodeRelay(WorkerState& worker, StreamRequest request, http::Request original,
              base::NodeAddress decode_worker, http::ResponseWriterPtr writer);
  void start();

  void onResponseHead(const http::Response& head) override;
  void onBodyBytes(std::string bytes, std::function<void()> resume) override;
  void onComplete() override;
  void onFailure(http::ExchangeFailure failure, bool refused) override;

 private:
  void onSlotAcquired();
  void onPrefilled();
  void onClientDisconnected();
  void close();

  WorkerState& worker_;
  StreamRequest request_;
  http::Request original_;
  base::NodeAddress decode_worker_;
  http::ResponseWriterPtr writer_;
  base::TimerPtr timer_;
  std::shared_ptr<http::Exchange> exchange_;
  SlotQueue::Ticket ticket_ = SlotQueue::Refused;
  std::string run_;
  bool prefilling_ = false;
  bool streaming_ = false;
  bool closed_ = false;
};

}  // namespace switchsaddle::testbed
