#include "switchsaddle/transport/tcp_transport.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <set>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::transport {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t LengthBytes = 4;
/** Frames and bytes gathered into one write. */
constexpr std::size_t GatheredFrames = 64;
constexpr std::size_t GatheredBytes = 1U << 20U;
constexpr std::size_t ReadBytes = 64U << 10U;
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 3;
/** Peers known at which those without a connection are forgotten. */
constexpr std::size_t PeersBeforeSweep = 4096;

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

tcp::endpoint toEndpoint(const base::NodeAddress& address, error_code& error) {
  return {boost::asio::ip::make_address(address.ip, error), address.port};
}

void setConnectionOptions(tcp::socket& socket, base::Duration user_timeout) {
  error_code ignored;
  const int milliseconds = static_cast<int>(base::toMilliseconds(user_timeout));
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(milliseconds), ignored);
}

std::string makeFrame(const std::string& bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string frame;
  frame.reserve(LengthBytes + bytes.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU));
  }
  return frame += bytes;
}

std::size_t readLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < LengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

}  // namespace

/** What the connections share; it outlives the transport for as long as their handlers do. */
class TcpTransport::Shared {
 public:
  Shared(const AsioDispatcher& dispatcher, const TcpTransportOptions& transport_options)
      : strand(dispatcher.strand()), options(transport_options) {}

  AsioDispatcher::Strand strand;
  TcpTransportOptions options;
  base::NodeAddress local;
  Receiver* receiver = nullptr;
  TcpTransportCounters counters;
  /** Set once the transport is destroyed. */
  bool closed = false;
};

/** One connection from a peer: cuts the bytes into frames and delivers them. */
class TcpTransport::IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(std::shared_ptr<Shared> shared, tcp::socket socket,
                     std::function<void(const std::shared_ptr<IncomingConnection>&)> on_closed)
      : shared_(std::move(shared)), socket_(std::move(socket)), on_closed_(std::move(on_closed)) {}

  void start() {
    setConnectionOptions(socket_, shared_->options.user_timeout);
    read();
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    const std::size_t filled = buffer_.size();
    buffer_.resize(filled + ReadBytes);
    socket_.async_read_some(
        boost::asio::buffer(buffer_.data() + filled, ReadBytes),
        [self = shared_from_this(), filled](const error_code& error, std::size_t bytes) {
          self->buffer_.resize(filled + bytes);
          self->onRead(error);
        });
  }

  void onRead(const error_code& error) {
    if (shared_->closed) {
      return;
    }
    if (error || !deliverFrames()) {
      close();
      if (!shared_->closed) {
        on_closed_(shared_from_this());
      }
      return;
    }
    read();
  }

  /** False where the connection is to be closed. */
  bool deliverFrames() {
    std::size_t offset = 0;
    while (buffer_.size() - offset >= LengthBytes) {
      const std::size_t length = readLength(buffer_.data() + offset);
      if (length > shared_->options.frame_bytes) {
        ++shared_->counters.malformed_frames;
        return false;
      }
      if (buffer_.size() - offset - LengthBytes < length) {
        break;
      }
      const bool goes_on = deliver(std::string_view(buffer_).substr(offset + LengthBytes, length));
      if (!goes_on) {
        return false;
      }
      offset += LengthBytes + length;
    }
    buffer_.erase(0, offset);
    if (buffer_.empty() && buffer_.capacity() > 4 * ReadBytes) {
      buffer_.shrink_to_fit();
    }
    return true;
  }

  bool deliver(std::string_view bytes) {
    wire::Envelope envelope;
    try {
      envelope = wire::decode(bytes);
    } catch (const std::exception&) {
      ++shared_->counters.malformed_frames;
      return false;
    }
    ++shared_->counters.frames_received;
    if (shared_->receiver == nullptr) {
      return true;
    }
    try {
      shared_->receiver->onEnvelope(std::move(envelope));
    } catch (const std::exception& exception) {
      ++shared_->counters.failed_deliveries;
      LOG(ERROR) << "event=delivery_failed reason=" << exception.what();
    }
    return !shared_->closed;
  }

  std::shared_ptr<Shared> shared_;
  tcp::socket socket_;
  std::function<void(const std::shared_ptr<IncomingConnection>&)> on_closed_;
  std::string buffer_;
};

/** Accepts connections and keeps them. */
class TcpTransport::Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(std::shared_ptr<Shared> shared, const base::NodeAddress& listen)
      : shared_(std::move(shared)), acceptor_(shared_->strand), retry_timer_(shared_->strand) {
    error_code error;
    const tcp::endpoint endpoint = toEndpoint(listen, error);
    if (error) {
      throw base::Error(base::ResultCode::InvalidAddress, listen.toString() + ": bad address");
    }
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const std::exception& exception) {
      throw base::Error(base::ResultCode::InvalidAddress,
                        "cannot listen on " + listen.toString() + ": " + exception.what());
    }
    shared_->local = base::NodeAddress{listen.ip, acceptor_.local_endpoint().port()};
  }

  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
          if (self->shared_->closed) {
            return;
          }
          if (error) {
            self->retryLater();
            return;
          }
          self->take(std::move(socket));
          self->accept();
        });
  }

  void close() {
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
    for (const auto& connection : connections_) {
      connection->close();
    }
    connections_.clear();
  }

 private:
  void take(tcp::socket socket) {
    if (connections_.size() >= shared_->options.incoming_connections) {
      return;
    }
    auto connection = std::make_shared<IncomingConnection>(
        shared_, std::move(socket),
        [weak = weak_from_this()](const std::shared_ptr<IncomingConnection>& closed) {
          if (const auto self = weak.lock()) {
            self->connections_.erase(closed);
          }
        });
    connections_.insert(connection);
    connection->start();
  }

  /** Accepting fails for want of file descriptors, for one; some may be free later. */
  void retryLater() {
    retry_timer_.expires_after(AcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](const error_code&) {
      if (!self->shared_->closed) {
        self->accept();
      }
    });
  }

  std::shared_ptr<Shared> shared_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::set<std::shared_ptr<IncomingConnection>> connections_;
};

/**
 * The connection to one peer with its queue. Each attempt has its own number, so that the handlers
 * of an earlier one find themselves outdated.
 */
class TcpTransport::OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<Shared> shared, base::NodeAddress peer)
      : shared_(std::move(shared)),
        peer_(std::move(peer)),
        socket_(shared_->strand),
        connect_timer_(shared_->strand) {}

  void send(std::string frame) {
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    while (queued_bytes_ > shared_->options.queue_bytes && !queue_.empty()) {
      queued_bytes_ -= queue_.front().size();
      queue_.pop_front();
      ++shared_->counters.frames_dropped;
    }
    if (queue_.empty()) {
      return;
    }
    if (state_ == State::Closed) {
      connect();
    } else if (state_ == State::Connected) {
      write();
    }
  }

  /** True where nothing is queued, under way or connected. */
  bool idle() const { return state_ == State::Closed && queue_.empty(); }

  void close() {
    ++attempt_;
    state_ = State::Closed;
    connect_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    writing_ = false;
  }

 private:
  enum class State : std::uint8_t { Closed, Connecting, Connected };

  bool outdated(std::uint64_t attempt) const { return shared_->closed || attempt != attempt_; }

  void connect() {
    const std::uint64_t attempt = ++attempt_;
    state_ = State::Connecting;
    error_code error;
    const tcp::endpoint endpoint = toEndpoint(peer_, error);
    socket_ = tcp::socket(shared_->strand);
    if (!error) {
      socket_.open(endpoint.protocol(), error);
    }
    if (error) {
      close();
      dropQueue();
      return;
    }
    bindToListeningAddress(endpoint);
    connect_timer_.expires_after(shared_->options.connect_timeout);
    connect_timer_.async_wait([self = shared_from_this(), attempt](const error_code& failure) {
      const bool expired = !failure && !self->outdated(attempt);
      if (expired && self->state_ == State::Connecting) {
        self->close();
        self->dropQueue();
      }
    });
    socket_.async_connect(endpoint, [self = shared_from_this(), attempt](const error_code& result) {
      if (!self->outdated(attempt)) {
        self->onConnect(result);
      }
    });
  }

  /** Lets peers see which node calls. Without it the connection still works. */
  void bindToListeningAddress(const tcp::endpoint& endpoint) {
    error_code error;
    const auto local = boost::asio::ip::make_address(shared_->local.ip, error);
    if (error || local.is_unspecified() || local.is_v4() != endpoint.address().is_v4()) {
      return;
    }
    socket_.set_option(IntegerOption<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(1), error);
    socket_.bind(tcp::endpoint(local, 0), error);
  }

  void onConnect(const error_code& error) {
    connect_timer_.cancel();
    if (error == boost::asio::error::connection_refused || (!error && connectedToItself())) {
      close();
      dropQueue();
      ++shared_->counters.refused_connections;
      if (shared_->receiver != nullptr) {
        shared_->receiver->onRefused(peer_);
      }
      return;
    }
    if (error) {
      close();
      dropQueue();
      return;
    }
    setConnectionOptions(socket_, shared_->options.user_timeout);
    state_ = State::Connected;
    watch();
    write();
  }

  /** Linux joins a socket to itself where the peer's port is free and happens to be chosen. */
  bool connectedToItself() const {
    error_code error;
    const tcp::endpoint local = socket_.local_endpoint(error);
    return !error && local == socket_.remote_endpoint(error);
  }

  /** The peer never sends here, so that any end of the read is the end of the connection. */
  void watch() {
    socket_.async_read_some(
        boost::asio::buffer(&watched_byte_, 1),
        [self = shared_from_this(), attempt = attempt_](const error_code&, std::size_t) {
          if (!self->outdated(attempt)) {
            self->onLost();
          }
        });
  }

  void write() {
    if (writing_ || queue_.empty()) {
      return;
    }
    std::size_t bytes = 0;
    auto frames = std::make_shared<std::vector<std::string>>();
    while (!queue_.empty() && frames->size() < GatheredFrames && bytes < GatheredBytes) {
      bytes += queue_.front().size();
      frames->push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    queued_bytes_ -= bytes;
    writing_ = true;
    std::vector<boost::asio::const_buffer> buffers;
    for (const std::string& frame : *frames) {
      buffers.push_back(boost::asio::buffer(frame));
    }
    boost::asio::async_write(socket_, buffers,
                             [self = shared_from_this(), attempt = attempt_, frames](
                                 const error_code& error, std::size_t) {
                               if (!self->outdated(attempt)) {
                                 self->onWritten(error, frames->size());
                               }
                             });
  }

  void onWritten(const error_code& error, std::size_t frames) {
    if (error) {
      shared_->counters.frames_dropped += frames;
      onLost();
      return;
    }
    shared_->counters.frames_sent += frames;
    writing_ = false;
    write();
  }

  /** Frames not yet given to the lost connection go on a new one. */
  void onLost() {
    close();
    if (!queue_.empty()) {
      connect();
    }
  }

  void dropQueue() {
    shared_->counters.frames_dropped += queue_.size();
    queue_.clear();
    queued_bytes_ = 0;
  }

  std::shared_ptr<Shared> shared_;
  base::NodeAddress peer_;
  tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  State state_ = State::Closed;
  std::uint64_t attempt_ = 0;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
  char watched_byte_ = 0;
};

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
  const std::string bytes = wire::encode(envelope);
  if (bytes.size() > shared_->options.frame_bytes) {
    ++shared_->counters.frames_dropped;
    return;
  }
  std::shared_ptr<OutgoingConnection>& connection = outgoing_[to];
  if (!connection) {
    if (outgoing_.size() > PeersBeforeSweep) {
      std::erase_if(outgoing_,
                    [](const auto& entry) { return entry.second && entry.second->idle(); });
    }
    connection = std::make_shared<OutgoingConnection>(shared_, to);
  }
  connection->send(makeFrame(bytes));
}

const TcpTransportCounters& TcpTransport::counters() const {
  return shared_->counters;
}

}  // namespace switchsaddle::transport
