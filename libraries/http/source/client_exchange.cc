#include "client_exchange.h"

#include <netinet/in.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
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

using BindAddressNoPort = asio::detail::socket_option::integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

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
    idle = client_->pool.take(poolKey());
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
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  sendRequest();
}

void ClientExchange::sendRequest() {
  armTimer(options_.response_timeout, ExchangeFailure::TimedOut);
  asio::async_write(
      socket_, asio::buffer(request_bytes_),
      [self = shared_from_this(), attempt = attempt_](const error_code& error, std::size_t bytes) {
        if (!self->outdated(attempt)) {
          self->onWritten(error, bytes);
        }
      });
}

void ClientExchange::onWritten(const error_code& error, std::size_t bytes) {
  if (error && bytes == 0) {
    failBeforeHead(false);
    return;
  }
  // After a partial write the server may have answered early, so that its answer is read.
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

void ClientExchange::deliverHead() {
  Response head;
  head.status = static_cast<std::uint16_t>(parser_->get().result_int());
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
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
  if (filled == 0) {
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
      std::string(body_bytes_.data(), filled), [self = shared_from_this(), piece = ++piece_] {
        asio::post(self->client_->strand, [self, piece] { self->resume(piece); });
      });
}

void ClientExchange::resume(std::uint64_t piece) {
  if (ended_ || piece != piece_) {
    return;
  }
  ++piece_;
  if (cut_) {
    fail(ExchangeFailure::BodyCut);
  } else {
    readBody();
  }
}

void ClientExchange::complete() {
  const bool reusable = !options_.fresh_connection && parser_->keep_alive() && buffer_.size() == 0;
  if (reusable) {
    client_->pool.put(poolKey(), std::move(socket_));
    socket_ = tcp::socket(client_->strand);
  }
  const auto observer = observer_;
  ended_ = true;
  end();
  observer->onComplete();
}

/** Tries once more where that cannot carry the request out twice. */
void ClientExchange::failBeforeHead(bool any_byte_sent) {
  const bool harmless = !any_byte_sent || method_ == "GET";
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
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), arming, failure](const error_code&) {
    const bool expired = !self->ended_ && self->timer_arming_ == arming;
    if (expired) {
      self->fail(failure);
    }
  });
}

}  // namespace switchsaddle::http
