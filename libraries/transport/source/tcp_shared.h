#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

#include "switchsaddle/transport/asio_dispatcher.h"
#include "switchsaddle/transport/tcp_transport.h"

namespace switchsaddle::transport {

using boost::asio::ip::tcp;
using boost::system::error_code;

inline constexpr std::size_t LengthBytes = 4;
/** Frames and bytes gathered into one write. */
inline constexpr std::size_t GatheredFrames = 64;
inline constexpr std::size_t GatheredBytes = 1U << 20U;
/** Space for one read: small until a read has filled it. A node has hundreds of quiet peers. */
inline constexpr std::size_t SmallReadBytes = 4U << 10U;
inline constexpr std::size_t LargeReadBytes = 64U << 10U;
inline constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
inline constexpr int KeepAliveSeconds = 1;
inline constexpr int KeepAliveProbes = 3;
/** Peers known at which those without a connection are forgotten. */
inline constexpr std::size_t PeersBeforeSweep = 4096;

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

inline tcp::endpoint toEndpoint(const base::NodeAddress& address, error_code& error) {
  return {boost::asio::ip::make_address(address.ip, error), address.port};
}

inline void setConnectionOptions(tcp::socket& socket, base::Duration user_timeout) {
  error_code ignored;
  const int milliseconds = static_cast<int>(base::toMilliseconds(user_timeout));
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(milliseconds), ignored);
}

inline std::string makeFrame(const std::string& bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string frame;
  frame.reserve(LengthBytes + bytes.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU));
  }
  return frame += bytes;
}

inline std::size_t readLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < LengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

/** What the connections share; it outlives the transport for as long as their handlers do. */
class TcpTransport::Shared {
 public:
  Shared(const AsioDispatcher& dispatcher, const TcpTransportOptions& transport_options)
      : strand(dispatcher.strand()), options(transport_options) {}

  AsioDispatcher::Strand strand;
  TcpTransportOptions options;
  base::NodeAddress local;
  Receiver* receiver = nullptr;
  TcpTransportCounters counters;
  /** Set once the transport is destroyed. */
  bool closed = false;
};

}  // namespace switchsaddle::transport
