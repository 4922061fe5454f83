#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/crowd/crowd_script.h"

namespace switchsaddle::testbed {

/** How many clients a crowd has and how often they come back. */
struct CrowdSize {
  int clients = 40;
  /** Connections that a client opens in place of one that the server has closed. */
  int reconnects = 3;
  /** Pause before a client connects again. */
  base::Duration pause = std::chrono::milliseconds(100);
};

/**
 * A crowd of clients at one listener, on a thread of its own. Each connection sends its script and
 * stays open until the server closes it; the client then connects again, a bounded number of
 * times. The connections that are left are closed on destruction.
 */
class Crowd {
 public:
  Crowd(base::NodeAddress target, CrowdScript script, const CrowdSize& size);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** @return whether every client has sent what it has to send, or was closed for the last time. */
  bool settled() const { return unsettled_.load() == 0; }
  std::uint64_t bytesSent() const { return bytes_sent_.load(); }
  /** Connections that the server closed or did not accept. */
  std::uint64_t closedConnections() const { return closed_.load(); }

 private:
  class Client;

  void run(const CrowdSize& size);

  base::NodeAddress target_;
  CrowdScript script_;
  std::atomic<int> unsettled_;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<std::uint64_t> closed_ = 0;
  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

}  // namespace switchsaddle::testbed
