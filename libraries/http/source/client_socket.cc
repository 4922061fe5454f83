#include "client_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace switchsaddle::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** Small, so that back-pressure of a slow reader reaches the server soon, and since bytes that have
 * arrived but are not read use memory of the machine too. */
constexpr int ReceiveBufferBytes = 32 << 10;
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 1;

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using BindAddressNoPort = asio::detail::socket_option::integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

error_code bindLocalAddress(tcp::socket& socket, const std::string& local_ip) {
  error_code error;
  const auto local = asio::ip::make_address(local_ip, error);
  if (error) {
    return error;
  }
  socket.set_option(BindAddressNoPort(1), error);
  socket.bind(tcp::endpoint(local, 0), error);
  return error;
}

}  // namespace

error_code openClientSocket(tcp::socket& socket, const tcp::endpoint& endpoint,
                            const std::string& local_ip) {
  error_code error;
  socket.open(endpoint.protocol(), error);
  if (error) {
    return error;
  }
  error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
  // A node may listen on the port that the kernel chooses for this connection.
  socket.set_option(asio::socket_base::reuse_address(true), ignored);
  return local_ip.empty() ? error : bindLocalAddress(socket, local_ip);
}

void setClientSocketOptions(tcp::socket& socket, bool probes_when_idle) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (!probes_when_idle) {
    return;
  }
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepAliveIdle(KeepAliveSeconds), ignored);
  socket.set_option(KeepAliveInterval(KeepAliveSeconds), ignored);
  socket.set_option(KeepAliveCount(KeepAliveProbes), ignored);
}

std::size_t unacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  const int result = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
  return result == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void resetOnClose(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

bool isConnectedToItself(const tcp::socket& socket) {
  error_code error;
  return socket.local_endpoint(error) == socket.remote_endpoint(error);
}

}  // namespace switchsaddle::http
