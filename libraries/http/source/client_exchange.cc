#include "client_exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "serialise.h"

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t HeaderLimit = 64U << 10U;
constexpr unsigned InformationalClass = 1;
/** Kept small, so that a reader held back soon holds back the server. */
constexpr int ReceiveBuffer = 128 << 10;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using BindAddressNoPort = asio::detail::socket_option::integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

/** The time of a Keep-Alive header in whole seconds; nothing where there is none. */
std::optional<base::Duration> keepAliveTimeout(const Response& head) {
  constexpr std::string_view Name = "timeout=";
  const std::string_view text = head.header("Keep-Alive");
  const std::size_t begin = text.find(Name);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const std::string_view number = text.substr(begin + Name.size());
  const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (fault != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientExchange::ClientExchange(std::shared_ptr<ClientState> client, base::NodeAddress address,
                               Request request, ExchangeOptions options,
                               std::shared_ptr<ExchangeObserver> observer)
    : client_(std::move(client)),
      address_(std::move(address)),
      method_(request.method),
      request_bytes_(serialiseRequest(request, address_.toString(), !options.fresh_connection)),
      options_(std::move(options)),
      observer_(std::move(observer)),
      socket_(client_->strand),
      timer_(client_->strand) {}

void ClientExchange::start() {
  if (ended_) {
    return;
  }
  std::optional<tcp::socket> idle;
  if (!options_.fresh_connection) {
    idle = client_->pool.take(poolKey(), options_.reuse_within);
  }
  if (!idle) {
    connect();
    return;
  }
  ++attempt_;
  reused_ = true;
  socket_ = std::move(*idle);
  sendRequest();
}

void ClientExchange::cancel() {
  if (ended_.exchange(true)) {
    return;
  }
  // Later, since the observer may be calling this and must outlive its own call.
  asio::post(client_->strand, [self = shared_from_this()] { self->end(); });
}

void ClientExchange::connect() {
  const std::uint64_t attempt = ++attempt_;
  reused_ = false;
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address_.ip, error), address_.port);
  if (!error) {
    error = openSocket(endpoint);
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

error_code ClientExchange::openSocket(const tcp::endpoint& endpoint) {
  error_code error;
  socket_ = tcp::socket(client_->strand);
  socket_.open(endpoint.protocol(), error);
  if (error) {
    return error;
  }
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer), ignored);
  if (options_.local_ip.empty()) {
    return error;
  }
  const auto local = asio::ip::make_address(options_.local_ip, error);
  if (error) {
    return error;
  }
  socket_.set_option(BindAddressNoPort(1), error);
  socket_.bind(tcp::endpoint(local, 0), error);
  return error;
}

void ClientExchange::onConnect(const error_code& error) {
  error_code endpoint_error;
  // Linux joins a socket to itself where the server's port is free and happens to be chosen.
  const bool connected_to_itself =
      !error && socket_.local_endpoint(endpoint_error) == socket_.remote_endpoint(endpoint_error);
  if (error || connected_to_itself) {
    const bool refused = connected_to_itself || error == asio::error::connection_refused;
    fail(ExchangeFailure::NotConnected, refused);
    return;
  }
  setConnectedOptions();
  sendRequest();
}

void ClientExchange::setConnectedOptions() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  if (options_.unacknowledged_limit <= base::Duration::zero()) {
    return;
  }
  const auto limit_ms = static_cast<int>(base::toMilliseconds(options_.unacknowledged_limit));
  socket_.set_option(UserTimeout(limit_ms), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(ProbeAfter(1), ignored);
  socket_.set_option(ProbeInterval(1), ignored);
  socket_.set_option(ProbeCount(1), ignored);
}

void ClientExchange::sendRequest() {
  armTimer(options_.response_timeout, ExchangeFailure::TimedOut);
  written_bytes_ = 0;
  reading_ = false;
  passing_over_ = false;
  writeSome();
}

void ClientExchange::writeSome() {
  const asio::const_buffer rest = asio::buffer(request_bytes_) + written_bytes_;
  socket_.async_write_some(rest, [self = shared_from_this(), attempt = attempt_](
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
  // A server may answer before it has read a long request.
  startReading();
  if (written_bytes_ < request_bytes_.size()) {
    writeSome();
  }
}

void ClientExchange::onWriteFailed() {
  if (written_bytes_ == 0) {
    failBeforeHead(false);
    return;
  }
  // The server may have answered early, so that its answer is read.
  startReading();
}

void ClientExchange::startReading() {
  if (reading_) {
    return;
  }
  reading_ = true;
  buffer_.clear();
  expectHead();
}

void ClientExchange::expectHead() {
  parser_.emplace();
  parser_->header_limit(HeaderLimit);
  parser_->body_limit(boost::none);
  parser_->skip(method_ == "HEAD");
  readHead();
}

void ClientExchange::readHead() {
  beast_http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this(), attempt = attempt_](const error_code& error, std::size_t) {
        if (!self->outdated(attempt)) {
          self->onHead(error);
        }
      });
}

void ClientExchange::onHead(const error_code& error) {
  if (error) {
    failBeforeHead(true);
    return;
  }
  if (parser_->get().result_int() / 100 == InformationalClass) {
    expectHead();
    return;
  }
  deliverHead();
}

Response ClientExchange::readResponseHead() const {
  Response head;
  head.status = static_cast<std::uint16_t>(parser_->get().result_int());
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

void ClientExchange::deliverHead() {
  const Response head = readResponseHead();
  passing_over_ = options_.is_answer && !options_.is_answer(head);
  if (passing_over_) {
    readBody();
    return;
  }
  kept_for_ = keepAliveTimeout(head);
  const std::uint64_t attempt = attempt_;
  observer_->onResponseHead(head);
  if (!outdated(attempt)) {
    readBody();
  }
}

void ClientExchange::readBody() {
  if (parser_->is_done()) {
    complete();
    return;
  }
  armTimer(options_.idle_timeout, ExchangeFailure::TimedOut);
  parser_->get().body().data = body_bytes_.data();
  parser_->get().body().size = body_bytes_.size();
  parser_->get().body().more = true;
  beast_http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this(), attempt = attempt_](const error_code& error, std::size_t) {
        if (!self->outdated(attempt)) {
          self->onBody(error);
        }
      });
}

void ClientExchange::onBody(const error_code& error) {
  const bool cut = error && error != beast_http::error::need_buffer;
  const std::size_t filled = body_bytes_.size() - parser_->get().body().size;
  if (passing_over_ && cut) {
    fail(ExchangeFailure::NoResponse);
    return;
  }
  if (filled == 0 || passing_over_) {
    if (cut) {
      fail(ExchangeFailure::BodyCut);
    } else {
      readBody();
    }
    return;
  }
  cut_ = cut;
  ++timer_arming_;
  timer_.cancel();
  observer_->onBodyBytes(
      std::string(body_bytes_.data(), filled), [self = shared_from_this(), chunk = ++chunk_] {
        asio::post(self->client_->strand, [self, chunk] { self->resume(chunk); });
      });
}

void ClientExchange::resume(std::uint64_t chunk) {
  if (ended_ || chunk != chunk_) {
    return;
  }
  ++chunk_;
  if (cut_) {
    fail(ExchangeFailure::BodyCut);
  } else {
    readBody();
  }
}

void ClientExchange::complete() {
  if (passing_over_) {
    passing_over_ = false;
    expectHead();
    return;
  }
  const bool request_sent = written_bytes_ == request_bytes_.size();
  const bool reusable =
      !options_.fresh_connection && request_sent && parser_->keep_alive() && buffer_.size() == 0;
  if (reusable) {
    client_->pool.put(poolKey(), std::move(socket_), kept_for_);
    socket_ = tcp::socket(client_->strand);
  }
  const auto observer = observer_;
  ended_ = true;
  end();
  observer->onComplete();
}

/** Tries once more where that cannot carry the request out twice. */
void ClientExchange::failBeforeHead(bool any_byte_sent) {
  const bool harmless = !any_byte_sent || (options_.resend_lost_get && method_ == "GET");
  const bool no_answer = buffer_.size() == 0 && (!parser_ || !parser_->got_some());
  if (reused_ && !retried_ && harmless && no_answer) {
    retried_ = true;
    parser_.reset();
    connect();
    return;
  }
  fail(any_byte_sent ? ExchangeFailure::NoResponse : ExchangeFailure::NotConnected);
}

void ClientExchange::fail(ExchangeFailure failure, bool refused) {
  const auto observer = observer_;
  ended_ = true;
  end();
  observer->onFailure(failure, refused);
}

void ClientExchange::end() {
  ++attempt_;
  ++timer_arming_;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  observer_.reset();
}

void ClientExchange::armTimer(base::Duration delay, ExchangeFailure failure) {
  const std::uint64_t arming = ++timer_arming_;
  if (delay <= base::Duration::zero()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), arming, failure](const error_code&) {
    const bool expired = !self->ended_ && self->timer_arming_ == arming;
    if (expired) {
      self->fail(failure);
    }
  });
}

}  // namespace switchsaddle::http
