#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

#include "server_connection.h"
#include "switchsaddle/http/error_response.h"

// Reading of a request within the limits of the server, and its rejection.

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned Http11 = 11;
constexpr const char* RetryAfterSeconds = "1";
/** End of a head. */
constexpr std::string_view HeadEnd = "\r\n\r\n";
/** Pieces of a body that are read in one turn, so that other connections get theirs. */
constexpr int PiecesPerTurn = 16;
constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

/** @return whether the first byte may be that of a method or of an empty line before it. */
bool startsLikeRequest(const boost::beast::flat_buffer& buffer) {
  const char first = buffer.size() == 0 ? '\r' : *static_cast<const char*>(buffer.data().data());
  const bool is_visible = first > ' ' && first < '\x7f';
  return is_visible || first == '\r' || first == '\n';
}

}  // namespace

void ServerConnection::startRequest() {
  enter(Phase::Reading);
  first_request_ = false;
  searched_bytes_ = 0;
  reader_.emplace(server_->limits);
  memory_ = reader_->memory();
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  readHead();
}

bool ServerConnection::isHeadComplete() {
  const std::string_view bytes(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  const bool is_found = bytes.find(HeadEnd, searched_bytes_) != std::string_view::npos;
  searched_bytes_ = bytes.size() - std::min(bytes.size(), HeadEnd.size() - 1);
  return is_found;
}

void ServerConnection::readHead() {
  const bool exceeds_limit = buffer_.size() > server_->limits.header_bytes;
  if (isHeadComplete() || exceeds_limit || !startsLikeRequest(buffer_)) {
    parseHead();
  } else {
    readAhead();
  }
}

void ServerConnection::parseHead() {
  if (!handleReadError(reader_->parseHead(buffer_))) {
    onHead();
  }
}

template <class Action>
bool ServerConnection::withMemory(Action action) {
  while (!action()) {
    if (!server_->connections.displaceRequest(*this)) {
      ++server_->counters.requests_refused;
      rejectForMemory();
      return false;
    }
  }
  return true;
}

void ServerConnection::onHead() {
  if (!withMemory([this] { return reader_->takeHead(); })) {
    return;
  }
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  if (reader_->expectsContinue()) {
    sendContinue();
  } else {
    readBody();
  }
}

void ServerConnection::sendContinue() {
  writing_ = true;
  write_progress_ = ConnectionTable::Clock::now();
  asio::async_write(socket_, asio::buffer(Continue),
                    [self = shared_from_this()](const error_code& failure, std::size_t) {
                      self->onContinueWritten(failure);
                    });
}

void ServerConnection::onContinueWritten(const error_code& error) {
  writing_ = false;
  if (error) {
    close();
  } else if (phase_ == Phase::Reading) {
    readBody();
  } else if (!queue_.empty()) {
    // The request has been rejected meanwhile.
    write();
  }
}

void ServerConnection::readBody() {
  for (int pieces = 0; pieces < PiecesPerTurn && !reader_->isComplete(); ++pieces) {
    if (!readPiece()) {
      return;
    }
  }
  if (reader_->isComplete()) {
    onRequest();
    return;
  }
  asio::post(server_->strand, [self = shared_from_this(), request = exchange_] {
    if (self->isReading(request)) {
      self->guarded([&self] { self->readBody(); });
    }
  });
}

bool ServerConnection::readPiece() {
  if (!withMemory([this] { return reader_->prepareBody(); })) {
    return false;
  }
  const error_code error = reader_->parseBody(buffer_);
  return error == beast_http::error::need_more ? receiveMore() : !handleReadError(error);
}

bool ServerConnection::receiveMore() {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    // A line of the chunks' framing, or the trailer, is longer than a head may be.
    return !handleReadError(beast_http::error::header_limit);
  }
  error_code error;
  buffer_.commit(socket_.read_some(buffer_.prepare(room), error));
  if (error == asio::error::would_block) {
    awaitBody();
    return false;
  }
  return !handleReadError(error);
}

void ServerConnection::awaitBody() {
  // Waiting without a buffer lets the memory of the request be freed at any time.
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this(), request = exchange_](const error_code& error) {
                       if (!self->isReading(request)) {
                         return;
                       }
                       if (error) {
                         self->close();
                       } else {
                         self->guarded([&self] { self->readBody(); });
                       }
                     });
}

void ServerConnection::onRequest() {
  timer_.cancel();
  const auto& head = reader_->head();
  const unsigned version = head.version();
  keep_alive_ = head.keep_alive();
  head_only_ = head.method() == beast_http::verb::head;
  framing_ = version >= Http11 ? BodyFraming::Chunked : BodyFraming::UntilClose;
  Request request = reader_->release();
  reader_.reset();
  callHandler(std::move(request));
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
    ++server_->counters.requests_too_large;
    reject(errorResponse(base::ResultCode::BodyTooLarge));
  } else {
    ++server_->counters.requests_malformed;
    reject(errorResponse(base::ResultCode::MalformedHttp, error.message()));
  }
  return true;
}

void ServerConnection::reject(const Response& response) {
  enter(Phase::Finishing);
  reader_.reset();
  memory_.reset();
  keep_alive_ = false;
  armTimer(std::chrono::seconds(server_->limits.header_timeout_s));
  enqueue(serialiseHead(response, BodyFraming::ContentLength, false) + response.body, nullptr);
}

void ServerConnection::rejectForMemory() {
  Response response = errorResponse(base::ResultCode::RequestMemoryFull);
  response.headers.push_back({"Retry-After", RetryAfterSeconds});
  reject(response);
}

}  // namespace switchsaddle::http
