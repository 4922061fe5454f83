#pragma once

#include <array>
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "client_pool.h"
#include "deadline_timer.h"
#include "response_parser.h"
#include "switchsaddle/http/client.h"

namespace switchsaddle::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/** Maximum number of body bytes passed to an observer at a time. */
inline constexpr std::size_t BodyPieceBytes = 16U << 10U;

/** State shared by the exchanges of one client. */
struct ClientState {
  Strand strand;
  ClientPool pool;
  /** Where a piece of any exchange's body is parsed to, before it is passed to the observer. */
  std::array<char, BodyPieceBytes> body_piece;
};

/**
 * One request and its response: connects or takes a pooled connection, writes the request, reads
 * the response and retries once if the request cannot have run twice.
 *
 * Each connection attempt has its own number: handlers of an earlier attempt compare it and do
 * nothing. Pending handlers keep the exchange alive until it has ended. Runs on the client's
 * strand; cancel() is thread-safe.
 *
 * Invariant: of a response, an exchange holds at most MaximumResponseHeadBytes of unparsed bytes,
 * one parsed head and one piece of the body; what exceeds a fixed allowance is taken from the
 * response memory.
 */
class ClientExchange : public Exchange, public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(std::shared_ptr<ClientState> client, base::NodeAddress address, Request request,
                 ExchangeOptions options, std::shared_ptr<ExchangeObserver> observer);

  void start();
  void cancel() override;

 private:
  bool outdated(std::uint64_t attempt) const { return ended_ || attempt != attempt_; }
  std::size_t requestBytes() const { return request_head_.size() + request_body_.size(); }
  PoolKey poolKey() const { return {address_, options_.local_ip}; }

  void connect();
  void onConnect(const boost::system::error_code& error);

  void sendRequest();
  /** Checks after the limit whether the server's machine acknowledges the request's bytes. */
  void watchAcknowledgement();
  void checkAcknowledgement();
  void writeSome();
  void onWritten(const boost::system::error_code& error, std::size_t bytes);
  void onWriteFailed();

  void startReading();
  /** Starts to read the next response. */
  void readHead();
  void parseHead();
  /** Parses what has come of a head and counts its memory. @return no_memory if there is no room.
   */
  boost::system::error_code parseHeadBytes();
  /** Counts what is held of the response. @return whether there is room for it. */
  bool takeMemory();
  /** Reads from the connection, then calls `parse`, or `on_end` if the connection has ended. */
  void receive(void (ClientExchange::*parse)(),
               void (ClientExchange::*on_end)(const boost::system::error_code& error));
  void onHead(const boost::system::error_code& error);
  void deliverHead();
  void readBody();
  void parseBody();
  void onBody(const boost::system::error_code& error);
  /** @return whether the response denies the run where another response may have been due. */
  bool isUnprovenRefusal(const Response& head) const;
  /** Continues after a chunk of a response that is discarded. */
  void onDiscardedBody(bool truncated);
  void deliverBody(bool truncated);
  void resume(std::uint64_t chunk);

  void complete();
  /**
   * @return whether the next request may use the connection. Not after an error: servers send
   * errors out of turn, and a second copy of one may still be under way.
   */
  bool isReusable() const;
  void returnToPool();
  /** Retries on a new connection if the request cannot run twice, else reports the failure. */
  void failBeforeHead(bool any_byte_sent);
  bool mayRetry(bool any_byte_sent) const;
  void fail(ExchangeFailure failure, bool refused = false);
  /**
   * Ends an exchange that is not complete. Resets the connection: bytes of the request that the
   * network still holds up must not reach the server later.
   */
  void abort();
  void end();
  /** @return whether the exchange has taken longer than its total time-out. */
  bool isOverdue() const;
  /** @return the time-out, or what is left of the exchange's whole time if that is less. */
  base::Duration withinTotal(base::Duration delay) const;
  /** @param delay zero for no time-out. */
  void armTimer(base::Duration delay, ExchangeFailure failure);

  std::shared_ptr<ClientState> client_;
  base::NodeAddress address_;
  std::string method_;
  std::string request_head_;
  std::string request_body_;
  /** What is counted for the request, whose body this keeps. */
  base::ByteReservationPtr request_memory_;
  ExchangeOptions options_;
  std::shared_ptr<ExchangeObserver> observer_;
  boost::asio::ip::tcp::socket socket_;
  DeadlineTimer timer_;
  DeadlineTimer acknowledgement_timer_;
  std::chrono::steady_clock::time_point started_at_;
  std::uint64_t attempt_ = 0;
  boost::beast::flat_buffer buffer_{MaximumResponseHeadBytes};
  ResponseParser parser_;
  /** What is counted for the response; null if nothing is counted. */
  base::ByteReservationPtr response_memory_;
  /** Memory of what is parsed of the head, in all its copies. */
  std::size_t head_memory_ = 0;
  /** Number of the body chunk last passed to the observer. */
  std::uint64_t chunk_ = 0;
  /** The connection ended after the chunk that the observer is processing. */
  bool truncated_ = false;
  /** The connection is from the pool. */
  bool reused_ = false;
  std::size_t written_bytes_ = 0;
  /** Bytes of the request that were unacknowledged, or not written, at the last check. */
  std::size_t unacknowledged_bytes_ = 0;
  /** Reading has started, possibly while a long request is still being written. */
  bool reading_ = false;
  /** The response being read belongs to another request. */
  bool discarding_ = false;
  /** A response on the current connection was discarded. */
  bool discarded_any_ = false;
  /** Time for which the server keeps the connection open, if it sent one. */
  std::optional<base::Duration> keep_alive_timeout_;
  bool retried_ = false;
  std::atomic<bool> ended_ = false;
};

}  // namespace switchsaddle::http
