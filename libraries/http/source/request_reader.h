#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <string>

#include "parser_feed.h"
#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::http {

/**
 * Reads one request, its head and then its body in pieces. Trailer fields are discarded.
 *
 * Invariant: memory for the head's fields and for the body is taken from the server's budget before
 * it is filled: an announced body's whole length at its head, the rest as it arrives.
 */
class RequestReader {
 public:
  explicit RequestReader(const ServerLimits& limits);

  /** Parses the head. @return need_more if the buffer does not contain all of it. */
  boost::system::error_code parseHead(boost::beast::flat_buffer& buffer);
  /** @return the head; valid once it has been parsed. */
  const auto& head() const { return parser_.get(); }
  const base::ByteReservationPtr& memory() const { return request_.memory; }

  /** Keeps the head. @return false if the budget has no room for the request; then it may be called
   * again. */
  bool takeHead();
  bool expectsContinue() const;
  bool isComplete() const { return parser_.is_done(); }
  /** Provides room for the next bytes of the body. @return false if the budget has none. */
  bool prepareBody();
  /**
   * Parses bytes of the body into the room that prepareBody() has provided.
   * @return need_more if the buffer has no more of them.
   */
  boost::system::error_code parseBody(boost::beast::flat_buffer& buffer);
  /** @return the complete request. */
  Request release() { return std::move(request_); }

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  bool takeMemory(std::size_t bytes);
  void keepFields();
  /** @return whether the body has room for at least one more byte. */
  bool growCapacity();

  std::size_t body_limit_;
  Parser parser_;
  ParserFeed feed_;
  Request request_;
  /** Bytes of the body that memory has been taken for. */
  std::size_t capacity_ = 0;
  /** Bytes of the body that have been received. */
  std::size_t received_ = 0;
};

}  // namespace switchsaddle::http
