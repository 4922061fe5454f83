#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>

namespace switchsaddle::http {

/**
 * Passes received bytes on to a Beast parser. Beast asserts that the last chunk of a chunked body
 * comes with at least five bytes ("0", CR LF, CR LF), and ends the process if a peer sends it in
 * smaller pieces. What is left of a chunked message always has as many bytes, so the parser gets
 * these together, and no byte of an unfinished element twice.
 */
class ParserFeed {
 public:
  /** @return need_more if further bytes are needed, else what the parser says. */
  template <class Parser>
  boost::system::error_code feed(Parser& parser, boost::beast::flat_buffer& buffer) {
    boost::system::error_code error = boost::beast::http::error::need_more;
    const bool is_chunked = parser.is_header_done() && parser.chunked();
    if (buffer.size() <= seen_bytes_ || (is_chunked && mayBePartOfLastChunk(buffer))) {
      return error;
    }
    buffer.consume(parser.put(buffer.data(), error));
    seen_bytes_ = error == boost::beast::http::error::need_more ? buffer.size() : 0;
    return error;
  }

 private:
  static constexpr std::size_t LastChunkBytes = 5;

  static bool mayBePartOfLastChunk(const boost::beast::flat_buffer& buffer) {
    const char* bytes = static_cast<const char*>(buffer.data().data());
    return buffer.size() < LastChunkBytes && *bytes == '0';
  }

  /** Bytes at the front of the buffer that the parser has seen and left there. */
  std::size_t seen_bytes_ = 0;
};

}  // namespace switchsaddle::http
