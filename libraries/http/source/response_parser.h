#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "parser_feed.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::http {

/** Incremental parser of one response at a time: its head, then the body in buffers. */
class ResponseParser {
 public:
  using BeastParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /** Starts the next response. @param method of the request; a response to HEAD has no body. */
  void start(std::string_view method);
  /** Discards the current response. */
  void reset() { parser_.reset(); }

  /**
   * Parses received bytes: the head first, then body bytes into the buffer of prepareBody().
   * @return need_more if the buffer has too few of them.
   */
  boost::system::error_code parse(boost::beast::flat_buffer& buffer);
  /** Handles the end of the connection. @return an error if the response is not complete. */
  boost::system::error_code finish();

  /** @return whether a byte of the response has been parsed. */
  bool hasStarted() const { return parser_ && parser_->got_some(); }
  /** @return whether the head is that of an informational response (1xx). */
  bool isInformational() const;
  bool isComplete() const { return parser_->is_done(); }
  /** @return whether the server keeps the connection open. */
  bool keepsAlive() const { return parser_->keep_alive(); }
  std::uint16_t status() const { return static_cast<std::uint16_t>(parser_->get().result_int()); }
  /**
   * @return whether the head consists of two: one that was cut off, and the one behind it, whose
   * status line ends up in a field or the reason of the first.
   */
  bool isJoined() const;
  /** @return status and headers. */
  Response head() const;

  /** Provides the buffer for the next bytes of the body. */
  void prepareBody(std::span<char> buffer);
  /** @return the bytes parsed since prepareBody(). */
  std::string_view bodyBytes() const;

 private:
  std::optional<BeastParser> parser_;
  ParserFeed feed_;
  std::span<char> body_buffer_;
};

/** @return the time-out of the Keep-Alive header; std::nullopt if there is none. */
std::optional<base::Duration> keepAliveTimeout(const Response& head);

}  // namespace switchsaddle::http
