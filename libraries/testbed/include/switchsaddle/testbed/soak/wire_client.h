#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/testbed/soak/blocking_socket.h"
#include "switchsaddle/testbed/soak/interruption.h"
#include "switchsaddle/testbed/soak/message_reader.h"
#include "switchsaddle/testbed/soak/run_ledger.h"
#include "switchsaddle/testbed/soak/wire_names.h"

namespace switchsaddle::testbed {

/** A front as clients see it. */
struct FrontTarget {
  std::string name;
  base::NodeAddress address;
};

/** How a WireClient sends. */
struct WireClientOptions {
  std::vector<FrontTarget> fronts;
  /** Host of the forwarded routes. */
  std::string host;
  /** Key of the tenant whose one-shots it sends; empty for none. */
  std::string tenant_key;
  /** Service of the one-shots. */
  std::string service;
  base::Duration mean_pause = std::chrono::milliseconds(100);
  std::uint64_t seed = 1;
  WireNames names;
  /** More header lines of a forwarded request, each ending with CR LF; by default none. */
  std::function<std::string(base::RandomSource&)> draw_headers;
  /** Bodies of forwarded requests are padded with up to so many bytes. */
  std::size_t padding_bytes = 0;
};

/**
 * A client stand-in on real sockets: requests of at-most-once routes, streams that cannot be
 * resumed, and one-shots; every other forwarded body comes in chunks. It keeps using its open
 * connections until they end. Another attempt follows only where the interface allows it: after a
 * status that promises no run, a refused connection, or a reset before any byte of an answer; for
 * one-shots, with the same idempotency key, after any end but 200. One thread.
 */
class WireClient {
 public:
  /** @param ledger outlives the client. */
  WireClient(WireClientOptions options, RunLedger& ledger);

  /** Sends work until interrupted. */
  void run(Interruption& interruption);
  /** Sends one work to its end. */
  void sendWork(Interruption& interruption);

 private:
  enum class Kind : std::uint8_t { AtMostOnce, Stream, OneShot };
  struct Connection {
    BlockingSocket socket;
    MessageReader reader{socket};
  };

  ClientAttempt attempt(Kind kind, const std::string& work);
  std::string requestText(Kind kind, const ClientAttempt& attempt);
  std::string forwardedText(Kind kind, const ClientAttempt& attempt);
  /** @return the kept connection to the front, or a new one; null if there is none. */
  std::unique_ptr<Connection> takeConnection(const FrontTarget& front);
  void judgeAnswer(Kind kind, const WireMessage& answer, ClientAttempt& attempt) const;
  static bool mayRepeat(Kind kind, const ClientAttempt& attempt);

  WireClientOptions options_;
  RunLedger& ledger_;
  base::RandomSource random_;
  std::map<std::string, std::unique_ptr<Connection>> kept_;
  std::uint64_t works_ = 0;
  std::uint64_t attempts_ = 0;
};

}  // namespace switchsaddle::testbed
