#include "url_escape.h"

#include <cctype>
#include <string_view>

namespace switchsaddle::operator_client {

std::string escapeForUrl(const std::string& text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Unreserved = "-._~";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool is_alphanumeric = byte < 0x80U && std::isalnum(byte) != 0;
    if (is_alphanumeric || Unreserved.find(character) != std::string_view::npos) {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += Digits[byte >> 4U];
    escaped += Digits[byte & 0xfU];
  }
  return escaped;
}

}  // namespace switchsaddle::operator_client
