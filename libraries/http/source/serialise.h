#pragma once

#include <string>

#include "switchsaddle/http/message.h"

namespace switchsaddle::http {

/** How the end of a message's body is told. */
enum class BodyFraming : std::uint8_t { ContentLength, Chunked, UntilClose, None };

/**
 * The start line and header of a response. Framing and connection headers are made here; those in
 * the response are left out, as are characters that would end a header field.
 */
std::string serialiseHead(const Response& response, BodyFraming framing, bool keep_alive);

/** A whole request, with Host, Content-Length and Connection made here. */
std::string serialiseRequest(const Request& request, const std::string& host, bool keep_alive);

/** One chunk of a chunked body; the bytes must not be empty. */
std::string serialiseChunk(const std::string& bytes);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

}  // namespace switchsaddle::http
