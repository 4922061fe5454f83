#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace switchsaddle::transport {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 3;

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

}  // namespace

tcp::endpoint toEndpoint(const base::NodeAddress& address, error_code& error) {
  return {boost::asio::ip::make_address(address.ip, error), address.port};
}

void setConnectionOptions(tcp::socket& socket, base::Duration user_timeout) {
  error_code ignored;
  const int milliseconds = static_cast<int>(base::toMilliseconds(user_timeout));
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(milliseconds), ignored);
}

void shareLocalPort(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::reuse_address(true), ignored);
}

void bindLocalAddress(tcp::socket& socket, const base::NodeAddress& local,
                      const tcp::endpoint& peer) {
  error_code error;
  const auto address = boost::asio::ip::make_address(local.ip, error);
  if (error || address.is_unspecified() || address.is_v4() != peer.address().is_v4()) {
    return;
  }
  socket.set_option(IntegerOption<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(1), error);
  socket.bind(tcp::endpoint(address, 0), error);
}

bool isConnectedToItself(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint local = socket.local_endpoint(error);
  return !error && local == socket.remote_endpoint(error);
}

}  // namespace switchsaddle::transport
