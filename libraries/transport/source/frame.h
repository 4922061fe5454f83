#pragma once

#include <cstddef>
#include <string>

/**
 * @file
 * Framing of the byte stream: a frame consists of the length of its body (4 bytes, big-endian) and
 * the body.
 */

namespace switchsaddle::transport {

/** Size of the length field of a frame. */
inline constexpr std::size_t LengthBytes = 4;

/** @return a frame with the body. */
std::string makeFrame(const std::string& body);

/** @param bytes at least LengthBytes bytes. @return the length of the frame's body. */
std::size_t readFrameLength(const char* bytes);

}  // namespace switchsaddle::transport
