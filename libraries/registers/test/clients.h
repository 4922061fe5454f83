#pragma once

#include "cluster.h"
#include "history.h"

namespace switchsaddle::registers {

/** Clients that change and read one register at random core nodes until stopped. */
class Clients {
 public:
  static constexpr const char* Key = "configuration";

  explicit Clients(TestCluster& cluster) : cluster_(cluster) {}
  void start(std::size_t clients);
  void stop() { stopping_ = true; }
  /** One read at a node that knows the acceptor set. */
  RegisterOutcome readOnce();

  History history;

 private:
  void step();
  void operate(TestCore& core);

  TestCluster& cluster_;
  bool stopping_ = false;
};

/** Cuts, kills, freezes and wipes at random, one fault after the other. */
class Faults {
 public:
  Faults(TestCluster& cluster, std::size_t most_wipes)
      : cluster_(cluster), wipes_left_(most_wipes) {}
  void run(base::Duration duration);
  /** Ends every fault but the wipes. */
  void heal();

 private:
  void one();

  TestCluster& cluster_;
  std::size_t wipes_left_;
};

}  // namespace switchsaddle::registers
