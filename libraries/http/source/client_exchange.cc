#include "client_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

#include "client_socket.h"
#include "serialise.h"

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t LargestReadBytes = 16U << 10U;
/** What a response may take without being counted: one read and the head of an ordinary one. */
constexpr std::size_t UncountedBytes = LargestReadBytes + (8U << 10U);
/** Copies of a head's bytes: the parser's, the message's, the observer's two. */
constexpr std::size_t HeadCopies = 4;
/** Memory of one header field in all copies, besides its bytes. */
constexpr std::size_t FieldBytes = 256;
constexpr std::uint16_t FirstErrorStatus = 400;

}  // namespace

ClientExchange::ClientExchange(std::shared_ptr<ClientState> client, base::NodeAddress address,
                               Request request, ExchangeOptions options,
                               std::shared_ptr<ExchangeObserver> observer)
    : client_(std::move(client)),
      address_(std::move(address)),
      method_(request.method),
      request_head_(serialiseRequestHead(request, address_.toString(), !options.fresh_connection)),
      request_body_(std::move(request.body)),
      request_memory_(std::move(request.memory)),
      options_(std::move(options)),
      observer_(std::move(observer)),
      socket_(client_->strand),
      timer_(client_->strand),
      acknowledgement_timer_(client_->strand) {
  if (options_.response_memory) {
    response_memory_ = std::make_shared<base::ByteReservation>(options_.response_memory);
  }
}

void ClientExchange::start() {
  if (ended_) {
    return;
  }
  started_at_ = std::chrono::steady_clock::now();
  std::optional<tcp::socket> pooled;
  if (!options_.fresh_connection) {
    pooled = client_->pool.acquire(poolKey(), options_.maximum_idle_time);
  }
  if (!pooled) {
    connect();
    return;
  }
  ++attempt_;
  reused_ = true;
  socket_ = std::move(*pooled);
  sendRequest();
}

void ClientExchange::cancel() {
  if (ended_.exchange(true)) {
    return;
  }
  // Posted, since abort() releases the observer, which may be calling cancel().
  asio::post(client_->strand, [self = shared_from_this()] { self->abort(); });
}

void ClientExchange::connect() {
  const std::uint64_t attempt = ++attempt_;
  reused_ = false;
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address_.ip, error), address_.port);
  if (!error) {
    socket_ = tcp::socket(client_->strand);
    error = openClientSocket(socket_, endpoint, options_.local_ip);
  }
  if (error) {
    fail(ExchangeFailure::NotConnected);
    return;
  }
  armTimer(options_.connect_timeout, ExchangeFailure::NotConnected);
  socket_.async_connect(endpoint, [self = shared_from_this(), attempt](const error_code& result) {
    if (!self->outdated(attempt)) {
      self->onConnect(result);
    }
  });
}

void ClientExchange::onConnect(const error_code& error) {
  const bool connected_to_itself = !error && isConnectedToItself(socket_);
  if (error || connected_to_itself) {
    const bool refused = connected_to_itself || error == asio::error::connection_refused;
    fail(ExchangeFailure::NotConnected, refused);
    return;
  }
  setClientSocketOptions(socket_, options_.unacknowledged_limit > base::Duration::zero());
  sendRequest();
}

void ClientExchange::sendRequest() {
  armTimer(options_.response_timeout, ExchangeFailure::TimedOut);
  written_bytes_ = 0;
  reading_ = false;
  discarding_ = false;
  discarded_any_ = false;
  unacknowledged_bytes_ = requestBytes();
  watchAcknowledgement();
  writeSome();
}

void ClientExchange::watchAcknowledgement() {
  if (options_.unacknowledged_limit <= base::Duration::zero()) {
    return;
  }
  acknowledgement_timer_.arm(options_.unacknowledged_limit,
                             [self = shared_from_this(), attempt = attempt_] {
                               if (!self->outdated(attempt)) {
                                 self->checkAcknowledgement();
                               }
                             });
}

void ClientExchange::checkAcknowledgement() {
  const std::size_t unacknowledged = unacknowledgedBytes(socket_) + requestBytes() - written_bytes_;
  if (unacknowledged == 0) {
    return;
  }
  if (unacknowledged < unacknowledged_bytes_) {
    unacknowledged_bytes_ = unacknowledged;
    watchAcknowledgement();
    return;
  }
  fail(parser_.hasStarted() ? ExchangeFailure::BodyTruncated : ExchangeFailure::NoResponse);
}

void ClientExchange::writeSome() {
  const std::size_t head_bytes = std::min(written_bytes_, request_head_.size());
  const std::array<asio::const_buffer, 2> remaining{
      asio::buffer(request_head_) + head_bytes,
      asio::buffer(request_body_) + (written_bytes_ - head_bytes)};
  socket_.async_write_some(remaining, [self = shared_from_this(), attempt = attempt_](
                                          const error_code& error, std::size_t bytes) {
    if (!self->outdated(attempt)) {
      self->onWritten(error, bytes);
    }
  });
}

void ClientExchange::onWritten(const error_code& error, std::size_t bytes) {
  written_bytes_ += bytes;
  if (error) {
    onWriteFailed();
    return;
  }
  // A server may respond before it has read a long request.
  startReading();
  if (written_bytes_ < requestBytes()) {
    writeSome();
  }
}

void ClientExchange::onWriteFailed() {
  if (written_bytes_ == 0) {
    failBeforeHead(false);
    return;
  }
  // The server may have responded before it closed the connection.
  startReading();
}

void ClientExchange::startReading() {
  if (reading_) {
    return;
  }
  reading_ = true;
  buffer_.clear();
  readHead();
}

void ClientExchange::readHead() {
  parser_.start(method_);
  head_memory_ = 0;
  parseHead();
}

error_code ClientExchange::parseHeadBytes() {
  const std::string_view bytes(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  const error_code error = parser_.parse(buffer_);
  const std::string_view parsed = bytes.substr(0, bytes.size() - buffer_.size());
  const auto lines = static_cast<std::size_t>(std::ranges::count(parsed, '\n'));
  head_memory_ += parsed.size() * HeadCopies + lines * FieldBytes;
  return takeMemory() ? error : asio::error::no_memory;
}

bool ClientExchange::takeMemory() {
  const std::size_t bytes = head_memory_ + buffer_.size();
  const std::size_t counted = bytes - std::min(bytes, UncountedBytes);
  return !response_memory_ || response_memory_->tryTo(counted);
}

void ClientExchange::parseHead() {
  const error_code error = parseHeadBytes();
  if (error == beast_http::error::need_more) {
    receive(&ClientExchange::parseHead, &ClientExchange::onHead);
  } else {
    onHead(error);
  }
}

void ClientExchange::receive(void (ClientExchange::*parse)(),
                             void (ClientExchange::*on_end)(const error_code& error)) {
  const std::size_t room = boost::beast::read_size(buffer_, LargestReadBytes);
  if (room == 0) {
    (this->*on_end)(beast_http::error::header_limit);
    return;
  }
  socket_.async_read_some(
      buffer_.prepare(room), [self = shared_from_this(), attempt = attempt_, parse, on_end](
                                 const error_code& error, std::size_t bytes) {
        if (self->outdated(attempt)) {
          return;
        }
        self->buffer_.commit(bytes);
        if (error) {
          (*self.*on_end)(error == asio::error::eof ? self->parser_.finish() : error);
        } else if (!self->takeMemory()) {
          (*self.*on_end)(asio::error::no_memory);
        } else {
          (*self.*parse)();
        }
      });
}

void ClientExchange::onHead(const error_code& error) {
  if (error || parser_.isJoined()) {
    failBeforeHead(true);
    return;
  }
  if (parser_.isInformational()) {
    readHead();
    return;
  }
  deliverHead();
}

void ClientExchange::deliverHead() {
  const Response head = parser_.head();
  discarding_ = options_.accepts_response && !options_.accepts_response(head);
  if (discarding_) {
    discarded_any_ = true;
    readBody();
    return;
  }
  if (isUnprovenRefusal(head)) {
    fail(ExchangeFailure::NoResponse);
    return;
  }
  keep_alive_timeout_ = keepAliveTimeout(head);
  const std::uint64_t attempt = attempt_;
  observer_->onResponseHead(head);
  if (!outdated(attempt)) {
    readBody();
  }
}

bool ClientExchange::isUnprovenRefusal(const Response& head) const {
  return discarded_any_ && options_.is_refusal && options_.is_refusal(head);
}

void ClientExchange::readBody() {
  if (parser_.isComplete()) {
    complete();
    return;
  }
  if (isOverdue()) {
    fail(ExchangeFailure::TimedOut);
    return;
  }
  armTimer(options_.idle_timeout, ExchangeFailure::TimedOut);
  parseBody();
}

void ClientExchange::parseBody() {
  parser_.prepareBody(client_->body_piece);
  const error_code error = parser_.parse(buffer_);
  const bool needs_more = error == beast_http::error::need_more && parser_.bodyBytes().empty();
  if (needs_more) {
    receive(&ClientExchange::parseBody, &ClientExchange::onBody);
  } else {
    onBody(error == beast_http::error::need_more ? error_code() : error);
  }
}

void ClientExchange::onBody(const error_code& error) {
  const bool truncated = error && error != beast_http::error::need_buffer;
  if (discarding_) {
    onDiscardedBody(truncated);
  } else if (!parser_.bodyBytes().empty()) {
    deliverBody(truncated);
  } else if (truncated) {
    fail(ExchangeFailure::BodyTruncated);
  } else {
    readBody();
  }
}

void ClientExchange::onDiscardedBody(bool truncated) {
  if (truncated) {
    fail(ExchangeFailure::NoResponse);
  } else {
    readBody();
  }
}

void ClientExchange::deliverBody(bool truncated) {
  truncated_ = truncated;
  timer_.cancel();
  observer_->onBodyBytes(
      std::string(parser_.bodyBytes()), [self = shared_from_this(), chunk = ++chunk_] {
        asio::post(self->client_->strand, [self, chunk] { self->resume(chunk); });
      });
}

void ClientExchange::resume(std::uint64_t chunk) {
  if (ended_ || chunk != chunk_) {
    return;
  }
  ++chunk_;
  if (truncated_) {
    fail(ExchangeFailure::BodyTruncated);
  } else {
    readBody();
  }
}

void ClientExchange::complete() {
  if (discarding_) {
    discarding_ = false;
    readHead();
    return;
  }
  if (isReusable()) {
    returnToPool();
  }
  const auto observer = observer_;
  ended_ = true;
  end();
  observer->onComplete();
}

bool ClientExchange::isReusable() const {
  const bool request_sent = written_bytes_ == requestBytes();
  const bool is_error = parser_.status() >= FirstErrorStatus;
  return !options_.fresh_connection && request_sent && !is_error && parser_.keepsAlive() &&
         buffer_.size() == 0;
}

void ClientExchange::returnToPool() {
  client_->pool.release(poolKey(), std::move(socket_), keep_alive_timeout_);
  socket_ = tcp::socket(client_->strand);
}

void ClientExchange::failBeforeHead(bool any_byte_sent) {
  if (mayRetry(any_byte_sent)) {
    retried_ = true;
    parser_.reset();
    connect();
    return;
  }
  fail(any_byte_sent ? ExchangeFailure::NoResponse : ExchangeFailure::NotConnected);
}

bool ClientExchange::mayRetry(bool any_byte_sent) const {
  const bool is_safe = !any_byte_sent || (options_.retry_lost_get && method_ == "GET");
  const bool has_no_response = buffer_.size() == 0 && !parser_.hasStarted();
  return reused_ && !retried_ && is_safe && has_no_response;
}

void ClientExchange::fail(ExchangeFailure failure, bool refused) {
  const auto observer = observer_;
  ended_ = true;
  abort();
  observer->onFailure(failure, refused);
}

void ClientExchange::abort() {
  resetOnClose(socket_);
  end();
}

void ClientExchange::end() {
  ++attempt_;
  timer_.cancel();
  acknowledgement_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  observer_.reset();
  // The owner may keep the exchange.
  parser_.reset();
  buffer_ = boost::beast::flat_buffer(MaximumResponseHeadBytes);
  response_memory_.reset();
}

bool ClientExchange::isOverdue() const {
  return options_.total_timeout > base::Duration::zero() &&
         std::chrono::steady_clock::now() - started_at_ >= options_.total_timeout;
}

base::Duration ClientExchange::withinTotal(base::Duration delay) const {
  if (options_.total_timeout <= base::Duration::zero()) {
    return delay;
  }
  constexpr base::Duration AtOnce = std::chrono::milliseconds(1);
  const auto spent = std::chrono::steady_clock::now() - started_at_;
  const auto left = std::max<base::Duration>(options_.total_timeout - spent, AtOnce);
  return delay <= base::Duration::zero() ? left : std::min(delay, left);
}

void ClientExchange::armTimer(base::Duration delay, ExchangeFailure failure) {
  delay = withinTotal(delay);
  if (delay <= base::Duration::zero()) {
    timer_.cancel();
    return;
  }
  timer_.arm(delay, [self = shared_from_this(), failure] {
    if (!self->ended_) {
      self->fail(failure);
    }
  });
}

}  // namespace switchsaddle::http
