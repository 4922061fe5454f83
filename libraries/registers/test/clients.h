#pragma once

#include "history.h"
#include "test_cluster.h"

namespace switchsaddle::registers {

/** Simulated clients that change and read one register through random core nodes until stopped. */
class Clients {
 public:
  static constexpr const char* Key = "configuration";

  explicit Clients(TestCluster& cluster) : cluster_(cluster) {}
  void start(std::size_t clients);
  void stop() { stopping_ = true; }
  /** Reads once through a node that has the acceptor set, and waits for the outcome. */
  RegisterOutcome readOnce();

  History history;

 private:
  void step();
  void operate(TestCore& core);

  TestCluster& cluster_;
  bool stopping_ = false;
};

/** Injects random partitions, kills, freezes and wipes, one fault at a time. */
class FaultInjector {
 public:
  FaultInjector(TestCluster& cluster, std::size_t maximum_wipes)
      : cluster_(cluster), wipes_left_(maximum_wipes) {}
  void run(base::Duration duration);
  /** Ends every fault except the wipes. */
  void heal();

 private:
  void injectOne();

  TestCluster& cluster_;
  std::size_t wipes_left_;
};

}  // namespace switchsaddle::registers
