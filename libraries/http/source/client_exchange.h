#pragma once

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

#include "client_pool.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/** What the exchanges of one client share. */
struct ClientState {
  Strand strand;
  ClientPool pool;
};

/**
 * One request and its response. Each connection it tries has its own attempt number, so that
 * handlers of an earlier one find themselves outdated. It keeps itself alive until it has ended.
 */
class ClientExchange : public Exchange, public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(std::shared_ptr<ClientState> client, base::NodeAddress address, Request request,
                 ExchangeOptions options, std::shared_ptr<ExchangeObserver> observer);

  void start();
  void cancel() override;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using Clock = std::chrono::steady_clock;

  bool outdated(std::uint64_t attempt) const { return ended_ || attempt != attempt_; }
  PoolKey poolKey() const { return {address_, options_.local_ip}; }

  void connect();
  boost::system::error_code openSocket(const boost::asio::ip::tcp::endpoint& endpoint);
  void onConnect(const boost::system::error_code& error);
  void sendRequest();
  void writeSome();
  void onWritten(const boost::system::error_code& error, std::size_t bytes);
  void onWriteFailed();
  void startReading();
  void expectHead();
  void readHead();
  void onHead(const boost::system::error_code& error);
  void deliverHead();
  Response readResponseHead() const;
  void setConnectedOptions();
  void readBody();
  void onBody(const boost::system::error_code& error);
  void resume(std::uint64_t chunk);
  void complete();
  void failBeforeHead(bool any_byte_sent);
  void fail(ExchangeFailure failure, bool refused = false);
  void end();
  void armTimer(base::Duration delay, ExchangeFailure failure);

  std::shared_ptr<ClientState> client_;
  base::NodeAddress address_;
  std::string method_;
  std::string request_bytes_;
  ExchangeOptions options_;
  std::shared_ptr<ExchangeObserver> observer_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t timer_arming_ = 0;
  std::uint64_t attempt_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, 16U << 10U> body_bytes_;
  std::uint64_t chunk_ = 0;
  /** The connection ended with the piece the observer has. */
  bool cut_ = false;
  bool reused_ = false;
  std::size_t written_bytes_ = 0;
  /** The answer is awaited; a long request may still be on its way. */
  bool reading_ = false;
  /** The answer being read belongs to another request. */
  bool passing_over_ = false;
  /** How long the server keeps the connection, as its answer says. */
  std::optional<base::Duration> kept_for_;
  bool retried_ = false;
  std::atomic<bool> ended_ = false;
};

}  // namespace switchsaddle::http
