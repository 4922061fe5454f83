#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::http {

/** How far an exchange had come when it failed. */
enum class ExchangeFailure : std::uint8_t {
  /** The connection was refused or could not be made: no byte of the request was sent. */
  NotConnected,
  /** Bytes of the request may have reached the server; no response header came. */
  NoResponse,
  /** The response header came, the body was cut short. */
  BodyCut,
  /** The deadline passed. */
  TimedOut,
};

/** What the client tells the owner of an exchange, on the io_context's thread. */
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  /** The status and headers; the body is empty. */
  virtual void onResponseHead(const Response& head) = 0;
  /**
   * Some bytes of the body. The client reads on only once `resume` has been called, which gives
   * back-pressure; it may be called at once.
   */
  virtual void onBodyBytes(std::string bytes, std::function<void()> resume) = 0;
  /** The whole body has come. Nothing follows. */
  virtual void onComplete() = 0;
  /** Nothing follows. `refused` is set where the connection was actively refused. */
  virtual void onFailure(ExchangeFailure failure, bool refused) = 0;
};

/** A running exchange; cancel() closes its connection, after which the observer hears nothing more.
 */
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void cancel() = 0;
};

/** Options of an exchange. */
struct ExchangeOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  /** For the response header; zero: as long as the owner waits. */
  base::Duration response_timeout = std::chrono::seconds(60);
  /** Longest silence within the body; zero: as long as the owner waits. */
  base::Duration idle_timeout = std::chrono::seconds(30);
  /** How long sent bytes may stay unacknowledged before the connection counts as dead, and how long
   * a silent peer may leave probes unanswered; zero: the system's own times. */
  base::Duration unacknowledged_limit{};
  /** A connection that has lain idle for longer is not used again. */
  base::Duration reuse_within = std::chrono::seconds(30);
  /** Whether a GET that was lost on a reused connection is sent once more. */
  bool resend_lost_get = true;
  /** Whether an answer is that to this request: one that is not is read and passed over. All are
   * where this is left out. */
  std::function<bool(const Response& head)> is_answer;
  /** Use a connection which carried nothing before and carries nothing after. */
  bool fresh_connection = false;
  /** The address to connect from, in numbers; empty for any. */
  std::string local_ip;
};

/** An HTTP/1.1 client with a keep-alive pool for each address. */
class Client {
 public:
  virtual ~Client() = default;
  /** Starts an exchange. The observer must outlive it, or be kept by the shared pointer. */
  virtual std::shared_ptr<Exchange> start(const base::NodeAddress& address, Request request,
                                          const ExchangeOptions& options,
                                          std::shared_ptr<ExchangeObserver> observer) = 0;
  /** Convenience for small exchanges: the whole response, or the failure. */
  virtual void fetch(const base::NodeAddress& address, Request request,
                     const ExchangeOptions& options,
                     std::function<void(const Response*, ExchangeFailure)> callback) = 0;
};

std::unique_ptr<Client> createClient(boost::asio::io_context& context);

}  // namespace switchsaddle::http
