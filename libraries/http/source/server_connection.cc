#include "server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "connection_writer.h"
#include "switchsaddle/http/error_response.h"

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/** Time-out of an idle connection between two requests. */
constexpr auto KeepAliveTimeout = std::chrono::seconds(75);
/** Limits of what a client may send while its connection is being closed. */
constexpr auto LingerTimeout = std::chrono::seconds(2);
constexpr std::size_t LingerLimitBytes = 16U << 20U;
/** Maximum number of bytes read while a response is awaited. */
constexpr std::size_t ReadAheadBytes = 4U << 10U;
/** Small, so that back-pressure of a slow client reaches the writer of the stream soon. */
constexpr int StreamSendBufferBytes = 32 << 10;
/** Time for which a client may leave sent bytes unacknowledged. */
constexpr int UserTimeoutMilliseconds = 60'000;
/** Maximum number of chunks in one gathered write. */
constexpr std::size_t BatchWrites = 16;
/** Maximum number of bytes passed to the kernel in one call. */
constexpr std::size_t WriteBytes = 64U << 10U;
constexpr std::uint16_t StatusNoContent = 204;
constexpr std::uint16_t StatusNotModified = 304;

void setConnectionOptions(asio::ip::tcp::socket& socket) {
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(UserTimeout(UserTimeoutMilliseconds), ignored);
  socket.non_blocking(true, ignored);
}

/** @return whether requests with this method change nothing (RFC 9110, section 9.2.1). */
bool isSafe(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server,
                                   asio::ip::tcp::socket socket)
    : server_(std::move(server)),
      socket_(std::move(socket)),
      timer_(server_->strand),
      buffer_(server_->limits.header_bytes + ReadAheadBytes) {}

void ServerConnection::start() {
  setConnectionOptions(socket_);
  awaitRequest();
}

bool ServerConnection::inExchange() const {
  return phase_ == Phase::Awaiting || phase_ == Phase::Streaming || phase_ == Phase::Finishing;
}

void ServerConnection::close() {
  if (phase_ == Phase::Closed) {
    return;
  }
  const bool was_in_exchange = inExchange();
  enter(Phase::Closed);
  reader_.reset();
  memory_.reset();
  presence_->leave();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  for (PendingWrite& pending : queue_) {
    if (pending.written) {
      postWritten(std::move(pending.written), false);
    }
  }
  queue_.clear();
  std::function<void()> disconnected = std::exchange(client_disconnected_, nullptr);
  if (was_in_exchange && disconnected && !server_->closed) {
    asio::post(server_->strand, std::move(disconnected));
  }
  server_->connections.remove(shared_from_this());
}

void ServerConnection::enter(Phase phase) {
  phase_ = phase;
  phase_start_ = ConnectionTable::Clock::now();
}

bool ServerConnection::isWaiting() const {
  return phase_ == Phase::Idle || phase_ == Phase::Reading || phase_ == Phase::Lingering;
}

bool ServerConnection::isOverdue(ConnectionTable::Clock::time_point now) const {
  const bool may_be_overdue = phase_ == Phase::Reading || phase_ == Phase::Finishing;
  return may_be_overdue && now - phase_start_ >= server_->limits.protected_time;
}

void ServerConnection::displaceRequest() {
  ++server_->counters.requests_displaced;
  if (phase_ == Phase::Reading) {
    rejectForMemory();
  } else {
    close();
  }
}

void ServerConnection::closeIfStalled(ConnectionTable::Clock::time_point now) {
  if (writing_ && now - write_progress_ >= server_->limits.write_timeout) {
    ++server_->counters.responses_timed_out;
    close();
  }
}

bool ServerConnection::isReading(std::uint64_t last_exchange) const {
  return phase_ == Phase::Reading && reader_ && last_exchange == exchange_;
}

bool ServerConnection::isCurrent(std::uint64_t exchange) const {
  const bool open = phase_ == Phase::Awaiting || phase_ == Phase::Streaming;
  return open && exchange == exchange_;
}

void ServerConnection::awaitRequest() {
  enter(Phase::Idle);
  memory_.reset();
  if (buffer_.size() > 0 && !reading_ahead_) {
    startRequest();
    return;
  }
  if (buffer_.size() > 0) {
    // The buffer may contain a complete request; then the client may send nothing more and the
    // pending read would never return.
    error_code ignored;
    socket_.cancel(ignored);
    return;
  }
  armTimer(first_request_ ? std::chrono::seconds(server_->limits.header_timeout_s)
                          : KeepAliveTimeout);
  readAhead();
}

void ServerConnection::readAhead() {
  const bool full = phase_ != Phase::Reading && buffer_.size() >= ReadAheadBytes;
  if (reading_ahead_ || full) {
    return;
  }
  reading_ahead_ = true;
  const std::size_t room = std::min(ReadAheadBytes, buffer_.max_size() - buffer_.size());
  socket_.async_read_some(buffer_.prepare(room),
                          [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                            self->guarded([&] { self->onReadAhead(error, bytes); });
                          });
}

void ServerConnection::onReadAhead(const error_code& error, std::size_t bytes) {
  reading_ahead_ = false;
  if (phase_ == Phase::Closed) {
    return;
  }
  if (error == asio::error::eof && phase_ == Phase::Finishing) {
    // The client may have closed only its sending side; the response is still written.
    keep_alive_ = false;
    return;
  }
  const bool cancelled = error == asio::error::operation_aborted && phase_ == Phase::Idle;
  if (error && !cancelled) {
    close();
    return;
  }
  buffer_.commit(bytes);
  if (phase_ == Phase::Idle) {
    startRequest();
  } else if (phase_ == Phase::Reading) {
    readHead();
  } else if (phase_ == Phase::Lingering) {
    buffer_.clear();
    readLingering();
  } else {
    readAhead();
  }
}

void ServerConnection::callHandler(Request request) {
  if (isSafe(request.method)) {
    presence_->unwatch();
  } else {
    presence_->watch(socket_.native_handle());
  }
  request.client = presence_;
  enter(Phase::Awaiting);
  const std::uint64_t exchange = ++exchange_;
  readAhead();
  auto writer =
      std::make_shared<ConnectionWriter>(shared_from_this(), server_->strand, server_, exchange);
  const std::shared_ptr<const RequestHandler> handler = server_->handler;
  try {
    (*handler)(std::move(request), writer);
  } catch (const std::exception& exception) {
    LOG(ERROR) << "event=handler_failed reason=" << exception.what();
    if (streaming()) {
      close();
    } else {
      writer->respond(errorResponse(base::ResultCode::InternalError));
    }
  }
}

void ServerConnection::endUnanswered() {
  if (streaming()) {
    close();
  } else {
    respond(errorResponse(base::ResultCode::InternalError, "the request was not answered"));
  }
}

void ServerConnection::linger() {
  enter(Phase::Lingering);
  memory_.reset();
  armTimer(LingerTimeout);
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  readLingering();
}

void ServerConnection::readLingering() {
  lingered_bytes_ += ReadAheadBytes;
  if (lingered_bytes_ > LingerLimitBytes) {
    close();
    return;
  }
  readAhead();
}

void ServerConnection::armTimer(std::chrono::seconds delay) {
  timer_.arm(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->onTimeout();
    }
  });
}

void ServerConnection::onTimeout() {
  server_->counters.requests_timed_out += phase_ == Phase::Reading ? 1 : 0;
  close();
}

void ServerConnection::countResponse(std::size_t bytes) {
  if (!memory_) {
    return;
  }
  memory_->forceTo(bytes);
  while (server_->limits.memory->isExceeded() && server_->connections.displaceRequest(*this)) {
  }
}

void ServerConnection::respond(Response response) {
  enter(Phase::Finishing);
  keep_alive_ = keep_alive_ && !server_->draining;
  const bool bodiless = response.status == StatusNoContent || response.status == StatusNotModified;
  std::string bytes = serialiseHead(
      response, bodiless ? BodyFraming::None : BodyFraming::ContentLength, keep_alive_);
  const bool has_body = !bodiless && !head_only_ && !response.body.empty();
  countResponse(bytes.size() + (has_body ? response.body.size() : 0));
  if (has_body) {
    queue_.push_back({std::move(bytes), nullptr});
    bytes = std::move(response.body);
  }
  enqueue(std::move(bytes), nullptr);
}

void ServerConnection::startStream(Response head) {
  if (phase_ != Phase::Awaiting) {
    return;
  }
  enter(Phase::Streaming);
  memory_.reset();
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(StreamSendBufferBytes), ignored);
  keep_alive_ = keep_alive_ && !server_->draining && framing_ == BodyFraming::Chunked;
  enqueue(serialiseHead(head, framing_, keep_alive_), nullptr);
}

void ServerConnection::writeChunk(const std::string& chunk, std::function<void(bool)> written) {
  if (chunk.empty() || head_only_) {
    enqueue(std::string(), std::move(written));
    return;
  }
  enqueue(framing_ == BodyFraming::Chunked ? serialiseChunk(chunk) : chunk, std::move(written));
}

void ServerConnection::endStream() {
  if (phase_ != Phase::Streaming) {
    return;
  }
  enter(Phase::Finishing);
  const bool chunked = framing_ == BodyFraming::Chunked && !head_only_;
  enqueue(chunked ? std::string(LastChunk) : std::string(), nullptr);
}

void ServerConnection::onClientDisconnected(std::uint64_t exchange,
                                            std::function<void()> callback) {
  if (exchange != exchange_) {
    return;
  }
  if (phase_ == Phase::Closed) {
    asio::post(server_->strand, std::move(callback));
  } else if (isCurrent(exchange)) {
    client_disconnected_ = std::move(callback);
  }
}

void ServerConnection::enqueue(std::string bytes, std::function<void(bool)> written) {
  queue_.push_back({std::move(bytes), std::move(written)});
  if (!writing_) {
    write();
  }
}

std::vector<ServerConnection::PendingWrite> ServerConnection::popBatch() {
  std::vector<PendingWrite> batch;
  while (!queue_.empty() && batch.size() < BatchWrites) {
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return batch;
}

void ServerConnection::write() {
  const auto batch = std::make_shared<std::vector<PendingWrite>>(popBatch());
  std::vector<asio::const_buffer> buffers;
  for (const PendingWrite& pending : *batch) {
    buffers.push_back(asio::buffer(pending.bytes));
  }
  writing_ = true;
  const auto self = shared_from_this();
  const auto note_progress = [self](const error_code& error, std::size_t) -> std::size_t {
    self->write_progress_ = ConnectionTable::Clock::now();
    return error ? 0 : WriteBytes;
  };
  asio::async_write(
      socket_, buffers, note_progress,
      [self, batch](const error_code& error, std::size_t) { self->onWritten(error, *batch); });
}

void ServerConnection::onWritten(const error_code& error, std::vector<PendingWrite>& batch) {
  writing_ = false;
  if (error) {
    close();
  }
  const bool is_open = phase_ != Phase::Closed;
  if (is_open && !queue_.empty()) {
    write();
  } else if (is_open && phase_ == Phase::Finishing) {
    finish();
  }
  for (PendingWrite& pending : batch) {
    if (pending.written) {
      postWritten(std::move(pending.written), is_open);
    }
  }
}

void ServerConnection::finish() {
  client_disconnected_ = nullptr;
  if (keep_alive_ && !server_->closed) {
    awaitRequest();
  } else {
    linger();
  }
}

void ServerConnection::postWritten(std::function<void(bool)> written, bool result) {
  asio::post(server_->strand, [server = server_, written = std::move(written), result] {
    if (!server->closed) {
      written(result);
    }
  });
}

}  // namespace switchsaddle::http
