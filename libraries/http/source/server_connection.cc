#include "server_connection.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cerrno>
#include <utility>
#include <vector>

#include "connection_writer.h"
#include "switchsaddle/http/error_response.h"

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

/** Time-out of an idle connection between two requests. */
constexpr auto KeepAliveTimeout = std::chrono::seconds(75);
/** Limits of what a client may send while its connection is being closed. */
constexpr auto LingerTimeout = std::chrono::seconds(2);
constexpr std::size_t LingerLimitBytes = 16U << 20U;
/** Maximum number of bytes read while a response is awaited. */
constexpr std::size_t ReadAheadBytes = 4U << 10U;
/** Small, so that back-pressure of a slow client reaches the writer of the stream soon. */
constexpr int StreamSendBufferBytes = 64 << 10;
/** Time for which a client may leave sent bytes unacknowledged. */
constexpr int UserTimeoutMilliseconds = 60'000;
/** Maximum number of chunks in one gathered write. */
constexpr std::size_t BatchWrites = 16;
constexpr unsigned Http11 = 11;
constexpr std::uint16_t StatusNoContent = 204;
constexpr std::uint16_t StatusNotModified = 304;
constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

void setConnectionOptions(asio::ip::tcp::socket& socket) {
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(UserTimeout(UserTimeoutMilliseconds), ignored);
}

/** @return whether requests with this method change nothing (RFC 9110, section 9.2.1). */
bool isSafe(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

Request toRequest(beast_http::request<beast_http::string_body> parsed) {
  Request request;
  request.method = std::string(parsed.method_string());
  request.target = std::string(parsed.target());
  for (const auto& field : parsed) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(parsed.body());
  return request;
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server,
                                   asio::ip::tcp::socket socket)
    : server_(std::move(server)), socket_(std::move(socket)), timer_(server_->strand) {}

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
  phase_ = Phase::Closed;
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
  server_->connections.erase(shared_from_this());
}

bool ServerConnection::isCurrent(std::uint64_t exchange) const {
  const bool open = phase_ == Phase::Awaiting || phase_ == Phase::Streaming;
  return open && exchange == exchange_;
}

void ServerConnection::awaitRequest() {
  phase_ = Phase::Idle;
  if (buffer_.size() > 0 && !reading_ahead_) {
    readHead();
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
  const bool full = buffer_.size() >= ReadAheadBytes;
  if (reading_ahead_ || full) {
    return;
  }
  reading_ahead_ = true;
  socket_.async_read_some(buffer_.prepare(ReadAheadBytes),
                          [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                            self->onReadAhead(error, bytes);
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
    readHead();
  } else if (phase_ == Phase::Lingering) {
    buffer_.clear();
    readLingering();
  } else {
    readAhead();
  }
}

void ServerConnection::readHead() {
  phase_ = Phase::Reading;
  first_request_ = false;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(server_->limits.header_bytes));
  parser_->body_limit(server_->limits.body_bytes);
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  beast_http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->onHead(error); });
}

void ServerConnection::onHead(const error_code& error) {
  if (phase_ == Phase::Closed || handleReadError(error)) {
    return;
  }
  const bool continue_expected =
      beast_http::token_list(parser_->get()[beast_http::field::expect]).exists("100-continue");
  if (continue_expected && !parser_->is_done()) {
    sendContinue();
  } else {
    readBody();
  }
}

void ServerConnection::sendContinue() {
  asio::async_write(socket_, asio::buffer(Continue),
                    [self = shared_from_this()](const error_code& failure, std::size_t) {
                      if (failure) {
                        self->close();
                      } else if (self->phase_ != Phase::Closed) {
                        self->readBody();
                      }
                    });
}

void ServerConnection::readBody() {
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  beast_http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](const error_code& error, std::size_t) {
                           self->onRequest(error);
                         });
}

void ServerConnection::onRequest(const error_code& error) {
  if (phase_ == Phase::Closed || handleReadError(error)) {
    return;
  }
  timer_.cancel();
  const unsigned version = parser_->get().version();
  keep_alive_ = parser_->get().keep_alive();
  head_only_ = parser_->get().method() == beast_http::verb::head;
  framing_ = version >= Http11 ? BodyFraming::Chunked : BodyFraming::UntilClose;
  Request request = toRequest(parser_->release());
  parser_.reset();
  callHandler(std::move(request));
}

bool ServerConnection::hasClientClosed() {
  char byte = 0;
  const ssize_t peeked = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_open = peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EINTR));
  return !is_open;
}

void ServerConnection::callHandler(Request request) {
  if (!isSafe(request.method) && hasClientClosed()) {
    presence_->leave();
  }
  request.client = presence_;
  phase_ = Phase::Awaiting;
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

bool ServerConnection::handleReadError(const error_code& error) {
  if (!error) {
    return false;
  }
  const bool is_parse_error =
      error.category() == error_code(beast_http::error::bad_method).category();
  const bool is_truncated =
      error == beast_http::error::end_of_stream || error == beast_http::error::partial_message;
  if (!is_parse_error || is_truncated) {
    close();
  } else if (error == beast_http::error::body_limit) {
    reject(errorResponse(base::ResultCode::BodyTooLarge));
  } else {
    reject(errorResponse(base::ResultCode::MalformedHttp, error.message()));
  }
  return true;
}

void ServerConnection::reject(const Response& response) {
  phase_ = Phase::Finishing;
  keep_alive_ = false;
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  enqueue(serialiseHead(response, BodyFraming::ContentLength, false) + response.body, nullptr);
}

void ServerConnection::linger() {
  phase_ = Phase::Lingering;
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
      self->close();
    }
  });
}

void ServerConnection::respond(Response response) {
  phase_ = Phase::Finishing;
  keep_alive_ = keep_alive_ && !server_->draining;
  const bool bodiless = response.status == StatusNoContent || response.status == StatusNotModified;
  std::string bytes = serialiseHead(
      response, bodiless ? BodyFraming::None : BodyFraming::ContentLength, keep_alive_);
  if (!bodiless && !head_only_) {
    bytes += response.body;
  }
  enqueue(std::move(bytes), nullptr);
}

void ServerConnection::startStream(Response head) {
  if (phase_ != Phase::Awaiting) {
    return;
  }
  phase_ = Phase::Streaming;
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
  phase_ = Phase::Finishing;
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
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), batch](const error_code& error, std::size_t) {
                      self->onWritten(error, *batch);
                    });
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
