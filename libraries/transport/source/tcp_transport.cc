#include "switchsaddle/transport/tcp_transport.h"

#include <utility>

#include "tcp_incoming.h"
#include "tcp_outgoing.h"

namespace switchsaddle::transport {

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
  const std::string frame = makeFrame(bytes);
  for (const base::NodeAddress& peer : peers) {
    sendFrame(peer, frame, envelope);
  }
}

void TcpTransport::sendFrame(const base::NodeAddress& to, const std::string& frame,
                             const wire::Envelope& envelope) {
  std::shared_ptr<OutgoingConnection>& connection = outgoing_[to];
  if (!connection) {
    if (outgoing_.size() > PeersBeforeSweep) {
      std::erase_if(outgoing_,
                    [](const auto& entry) { return entry.second && entry.second->idle(); });
    }
    connection = std::make_shared<OutgoingConnection>(shared_, to);
  }
  connection->send({frame, {envelope.kind, envelope.request_id}});
}

const TcpTransportCounters& TcpTransport::counters() const {
  return shared_->counters;
}

}  // namespace switchsaddle::transport
