#include "frame.h"

#include <cstdint>

namespace switchsaddle::transport {

std::string makeFrame(const std::string& body) {
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string frame;
  frame.reserve(LengthBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU));
  }
  return frame += body;
}

std::size_t readFrameLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < LengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

}  // namespace switchsaddle::transport
