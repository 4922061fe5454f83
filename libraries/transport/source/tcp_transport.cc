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
  const auto frame = std::make_shared<const std::string>(makeFrame(bytes));
  for (const base::NodeAddress& peer : peers) {
    connectionTo(peer).send({frame, {envelope.kind, envelope.request_id}});
  }
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
