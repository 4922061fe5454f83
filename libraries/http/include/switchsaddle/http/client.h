#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::http {

/** Progress of an exchange at its failure. */
enum class ExchangeFailure : std::uint8_t {
  /** The connection was refused or could not be established: no byte of the request was sent. */
  NotConnected,
  /** Bytes of the request may have reached the server; no response header was received. */
  NoResponse,
  /** The response header was received, but the body was truncated. */
  BodyTruncated,
  /** A time-out expired. */
  TimedOut,
};

/**
 * Observer of one exchange, called on the client's strand. Invariant: onComplete() or onFailure()
 * is the last call; after Exchange::cancel() there is none.
 */
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  /** @param head status and headers; its body is empty. */
  virtual void onResponseHead(const Response& head) = 0;
  /**
   * @param bytes next bytes of the body.
   * @param resume makes the client read the next bytes (back-pressure); may be called within this
   *     call.
   */
  virtual void onBodyBytes(std::string bytes, std::function<void()> resume) = 0;
  /** The body is complete. */
  virtual void onComplete() = 0;
  /** @param refused whether the server's host refused the connection. */
  virtual void onFailure(ExchangeFailure failure, bool refused) = 0;
};

/** An exchange in progress. */
class Exchange {
 public:
  virtual ~Exchange() = default;
  /** Closes the connection; the observer is not called any more. Thread-safe. */
  virtual void cancel() = 0;
};

/** Time-outs and connection options of an exchange. A time-out of zero disables it. */
struct ExchangeOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  /** Time-out of the response header. */
  base::Duration response_timeout = std::chrono::seconds(60);
  /** Maximum time between two reads of the body. */
  base::Duration idle_timeout = std::chrono::seconds(30);
  /** Maximum time of the whole exchange, however its response comes. */
  base::Duration total_timeout{};
  /**
   * Time for which sent bytes may stay unacknowledged by the server's machine. After it the
   * connection is reset, so that bytes that the network holds up are lost; idle connections are
   * probed. Zero for no limit.
   */
  base::Duration unacknowledged_limit{};
  /** Maximum idle time of a pooled connection that is reused. */
  base::Duration maximum_idle_time = std::chrono::seconds(30);
  /** Retry a GET once if it was lost on a reused connection. */
  bool retry_lost_get = true;
  /**
   * Returns whether a response belongs to this request. Other responses are read and discarded. If
   * empty, any response is accepted.
   */
  std::function<bool(const Response& head)> accepts_response;
  /**
   * Returns whether a response says that the request has not run. Behind a discarded response such
   * a response is not believed, and the exchange fails without a response: a discarded one that
   * was cut off may have taken the due response along.
   */
  std::function<bool(const Response& head)> is_refusal;
  /** Use a new connection for this exchange only. */
  bool fresh_connection = false;
  /** Numeric local address to connect from; empty for any. */
  std::string local_ip;
  /**
   * What is read of the response and not yet passed to the observer is counted here, beyond a fixed
   * allowance; a response for which there is no room is lost. Null to count nothing.
   */
  std::shared_ptr<base::ByteBudget> response_memory = nullptr;
  /** Maximum size of a body that fetch() collects. */
  std::size_t fetch_limit_bytes = 64U << 20U;
};

/** Maximum size of a response's head, and of a line of its chunks' framing or its trailer. */
inline constexpr std::size_t MaximumResponseHeadBytes = 32U << 10U;

/** HTTP/1.1 client with a pool of keep-alive connections. Thread-safe. */
class Client {
 public:
  virtual ~Client() = default;
  /** Starts an exchange, which shares ownership of the observer until it ends. */
  virtual std::shared_ptr<Exchange> start(const base::NodeAddress& address, Request request,
                                          const ExchangeOptions& options,
                                          std::shared_ptr<ExchangeObserver> observer) = 0;
  /**
   * Runs an exchange and collects its response in memory; for small responses.
   * @param callback receives the complete response, or nullptr and the failure.
   */
  virtual void fetch(const base::NodeAddress& address, Request request,
                     const ExchangeOptions& options,
                     std::function<void(const Response*, ExchangeFailure)> callback) = 0;
};

/** Idle connections that a client keeps unless it is told otherwise. */
inline constexpr std::size_t DefaultIdleConnections = 4'096;

/**
 * @param idle_connections number of connections that are kept for further exchanges.
 * @return a client whose callbacks run on a strand of the context.
 */
std::unique_ptr<Client> createClient(boost::asio::io_context& context,
                                     std::size_t idle_connections = DefaultIdleConnections);

}  // namespace switchsaddle::http
