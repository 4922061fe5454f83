#include "switchsaddle/base/node_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "switchsaddle/base/error.h"

namespace switchsaddle::base {

namespace {

bool isIpNumber(const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

}  // namespace

std::string NodeAddress::toString() const {
  return ip + ":" + std::to_string(port);
}

NodeAddress NodeAddress::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw Error(ResultCode::InvalidAddress, "'" + std::string(text) + "' is not IP:PORT");
  }
  NodeAddress address;
  address.ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  const bool port_is_valid = error == std::errc{} && end == port.data() + port.size();
  if (!port_is_valid || !isIpNumber(address.ip)) {
    throw Error(ResultCode::InvalidAddress, "'" + std::string(text) + "' is not IP:PORT");
  }
  return address;
}

}  // namespace switchsaddle::base
