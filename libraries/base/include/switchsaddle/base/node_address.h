#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace switchsaddle::base {

/** Numeric IP address and port on which a process listens. */
struct NodeAddress {
  /** IPv4 or IPv6 address; empty if unset. */
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const NodeAddress&) const = default;
  bool empty() const { return ip.empty(); }
  /** @return "IP:PORT". */
  std::string toString() const;
  /**
   * Parses "IP:PORT".
   * @throws Error with InvalidAddress if the text has another form or the IP is not numeric.
   */
  static NodeAddress parse(std::string_view text);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

}  // namespace switchsaddle::base

template <>
struct std::hash<switchsaddle::base::NodeAddress> {
  std::size_t operator()(const switchsaddle::base::NodeAddress& address) const noexcept {
    return std::hash<std::string>{}(address.ip) * 31U + address.port;
  }
};
