#include "request_reader.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>

namespace switchsaddle::http {

namespace {

namespace beast_http = boost::beast::http;

/** Copies of a body that exist while it is sent on: the request's and the worker exchange's. */
constexpr std::size_t BodyCopies = 2;
/** Copies of a head's bytes: the parser's, the request's, the message's to the worker, its text. */
constexpr std::size_t HeadCopies = 4;
/** Memory of one header field in all copies, besides its bytes. */
constexpr std::size_t FieldBytes = 256;
/** First capacity of a body of unknown length; it doubles from there. */
constexpr std::size_t FirstCapacityBytes = 16U << 10U;
/** Room for one piece of the body. */
constexpr std::size_t PieceBytes = 64U << 10U;

}  // namespace

RequestReader::RequestReader(const ServerLimits& limits) : body_limit_(limits.body_bytes) {
  parser_.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_.body_limit(limits.body_bytes);
  if (limits.memory) {
    request_.memory = std::make_shared<base::ByteReservation>(limits.memory);
  }
}

bool RequestReader::takeMemory(std::size_t bytes) {
  return !request_.memory || request_.memory->tryGrow(bytes);
}

bool RequestReader::takeHead() {
  const auto& head = parser_.get();
  std::size_t bytes = head.method_string().size() + head.target().size();
  std::size_t fields = 0;
  for (const auto& field : head) {
    bytes += field.name_string().size() + field.value().size();
    ++fields;
  }
  const auto length = parser_.content_length();
  const std::size_t announced = length ? static_cast<std::size_t>(*length) : 0;
  if (!takeMemory(bytes * HeadCopies + fields * FieldBytes + announced * BodyCopies)) {
    return false;
  }
  capacity_ = announced;
  request_.body.reserve(announced);
  keepFields();
  return true;
}

void RequestReader::keepFields() {
  const auto& head = parser_.get();
  request_.method = std::string(head.method_string());
  request_.target = std::string(head.target());
  request_.headers.reserve(static_cast<std::size_t>(std::distance(head.begin(), head.end())));
  for (const auto& field : head) {
    request_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
}

bool RequestReader::expectsContinue() const {
  const auto expectations = parser_.get()[beast_http::field::expect];
  return beast_http::token_list(expectations).exists("100-continue") && !parser_.is_done();
}

bool RequestReader::growCapacity() {
  if (received_ < capacity_) {
    return true;
  }
  const std::size_t doubled = std::max(FirstCapacityBytes, 2 * capacity_);
  // One byte more than the limit lets the parser see that the body exceeds it.
  const std::size_t capacity = std::min(doubled, body_limit_ + 1);
  if (!takeMemory((capacity - capacity_) * BodyCopies)) {
    return false;
  }
  capacity_ = capacity;
  request_.body.reserve(capacity_);
  return true;
}

bool RequestReader::prepareBody() {
  if (!growCapacity()) {
    return false;
  }
  const std::size_t room = std::min(capacity_ - received_, PieceBytes);
  request_.body.resize(received_ + room);
  auto& body = parser_.get().body();
  body.data = request_.body.data() + received_;
  body.size = room;
  body.more = true;
  return true;
}

boost::system::error_code RequestReader::parseHead(boost::beast::flat_buffer& buffer) {
  const boost::system::error_code error = feed_.feed(parser_, buffer);
  parser_.eager(true);
  return error;
}

boost::system::error_code RequestReader::parseBody(boost::beast::flat_buffer& buffer) {
  const boost::system::error_code error = feed_.feed(parser_, buffer);
  const std::size_t unused = parser_.get().body().size;
  received_ = request_.body.size() - unused;
  request_.body.resize(received_);
  parser_.get().body().data = nullptr;
  parser_.get().body().size = 0;
  // The parser asks for another buffer once it has filled one.
  return error == beast_http::error::need_buffer ? boost::system::error_code() : error;
}

}  // namespace switchsaddle::http
