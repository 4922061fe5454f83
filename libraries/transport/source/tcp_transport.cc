#include "switchsaddle/transport/tcp_transport.h"

#include <utility>

#include "frame.h"
#include "tcp_listener.h"
#include "tcp_outgoing_connection.h"

namespace switchsaddle::transport {

namespace {

/** Number of peers beyond which closed connections with an empty queue are removed. */
constexpr std::size_t SweepThreshold = 4096;

}  // namespace

std::size_t leastSendBytes(std::size_t frame_bytes) {
  // Large frames may fill three fourths.
  return (LengthBytes + frame_bytes) / 3 * 4 + 4;
}

TcpTransport::TcpTransport(boost::asio::io_context& /*context*/, AsioDispatcher& dispatcher,
                           const base::NodeAddress& listen, const TcpTransportOptions& options)
    : shared_(std::make_shared<Shared>(dispatcher, options)),
      listener_(std::make_shared<Listener>(shared_, listen)) {
  listener_->accept();
}

TcpTransport::~TcpTransport() {
  shared_->closed = true;
  shared_->receiver = nullptr;
  listener_->close();
  for (const auto& [peer, connection] : outgoing_) {
    connection->close();
  }
}

const base::NodeAddress& TcpTransport::localAddress() const {
  return shared_->local;
}

void TcpTransport::setReceiver(Receiver* receiver) {
  shared_->receiver = receiver;
}

void TcpTransport::send(const base::NodeAddress& to, const wire::Envelope& envelope) {
  sendToAll({to}, envelope);
}

void TcpTransport::sendToAll(const std::vector<base::NodeAddress>& peers,
                             const wire::Envelope& envelope) {
  const std::string bytes = wire::encode(envelope);
  if (bytes.size() > shared_->options.frame_bytes) {
    shared_->counters.frames_dropped += peers.size();
    return;
  }
  const auto frame = std::make_shared<Frame>(makeFrame(bytes), shared_->send_budget);
  if (!makeRoom(frame->reservation, frame->bytes.size())) {
    shared_->counters.frames_dropped += peers.size();
    return;
  }
  for (const base::NodeAddress& peer : peers) {
    connectionTo(peer).send({frame, {envelope.kind, envelope.request_id}});
  }
}

bool TcpTransport::makeRoom(base::ByteReservation& reservation, std::size_t bytes) {
  while (!reservation.tryTo(bytes)) {
    OutgoingConnection* longest = longestQueue();
    if (longest == nullptr) {
      return false;
    }
    longest->dropOldest();
  }
  return true;
}

TcpTransport::OutgoingConnection* TcpTransport::longestQueue() const {
  OutgoingConnection* longest = nullptr;
  std::size_t longest_bytes = 0;
  for (const auto& [peer, connection] : outgoing_) {
    if (connection->queuedBytes() > longest_bytes) {
      longest = connection.get();
      longest_bytes = connection->queuedBytes();
    }
  }
  return longest;
}

TcpTransport::OutgoingConnection& TcpTransport::connectionTo(const base::NodeAddress& peer) {
  std::shared_ptr<OutgoingConnection>& connection = outgoing_[peer];
  if (!connection) {
    if (outgoing_.size() > SweepThreshold) {
      std::erase_if(outgoing_,
                    [](const auto& entry) { return entry.second && entry.second->idle(); });
    }
    connection = std::make_shared<OutgoingConnection>(shared_, peer);
  }
  return *connection;
}

const TcpTransportCounters& TcpTransport::counters() const {
  return shared_->counters;
}

}  // namespace switchsaddle::transport
