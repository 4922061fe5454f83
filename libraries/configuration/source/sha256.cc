#include <openssl/evp.h>

#include <array>

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {

std::string sha256Hex(const std::string& text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(), nullptr) != 1) {
    throw base::Error(base::ResultCode::InternalError, "OpenSSL failed to compute a SHA-256 hash");
  }
  std::string out;
  for (unsigned int index = 0; index < size; ++index) {
    out += Digits[hash[index] >> 4U];
    out += Digits[hash[index] & 0xfU];
  }
  return out;
}

}  // namespace switchsaddle::configuration
