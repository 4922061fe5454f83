#pragma once

#include <memory>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::transport {

/**
 * State shared by the transport, its listener and its connections. Outlives the transport while
 * handlers of its connections are pending. Used on the dispatcher's strand.
 */
class TcpTransport::Shared {
 public:
  Shared(const AsioDispatcher& dispatcher, const TcpTransportOptions& transport_options)
      : strand(dispatcher.strand()),
        options(transport_options),
        send_budget(std::make_shared<base::ByteBudget>(transport_options.send_bytes)) {}

  AsioDispatcher::Strand strand;
  TcpTransportOptions options;
  /** Address bound by the listener. */
  base::NodeAddress local;
  Receiver* receiver = nullptr;
  TcpTransportCounters counters;
  /** What the frames of all outgoing connections take, queued or being written. */
  std::shared_ptr<base::ByteBudget> send_budget;
  /** Bytes reserved for unfinished frames of all incoming connections. */
  std::size_t receive_bytes = 0;
  /** The transport has been destroyed. */
  bool closed = false;
};

}  // namespace switchsaddle::transport
