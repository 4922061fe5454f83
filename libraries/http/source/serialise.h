#pragma once

#include <string>

#include "switchsaddle/http/message.h"

namespace switchsaddle::http {

/** How the end of a message's body is indicated. */
enum class BodyFraming : std::uint8_t { ContentLength, Chunked, UntilClose, None };

/**
 * @return the status line and headers of a response. Framing and connection headers are determined
 *     by the parameters; those of the response are ignored. Characters that would end a header
 * field are removed.
 */
std::string serialiseHead(const Response& response, BodyFraming framing, bool keep_alive);

/** @return the request up to its body; Host, Content-Length and Connection are generated. */
std::string serialiseRequestHead(const Request& request, const std::string& host, bool keep_alive);

/** @return one chunk of a chunked body. @param bytes must not be empty. */
std::string serialiseChunk(const std::string& bytes);

/** End of a chunked body. */
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

}  // namespace switchsaddle::http
