#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_dialect.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/testbed/soak/wire_worker.h"

namespace switchsaddle::testbed_commands {

/** The workers of a soak by their zones, as the platform lists them. */
struct SoakWorker {
  std::unique_ptr<testbed::WireWorker> worker;
  std::string zone;
};

/** A stand-in of the platform in this process: lists the current instances of the workers, and for
 * a while those that have ended, all ready. Serves on a thread of its own. */
class SoakPlatform {
 public:
  /** @param workers outlive the platform, as does the dialect. */
  SoakPlatform(const base::NodeAddress& address, const std::vector<SoakWorker>& workers,
               const SoakDialect& dialect);
  ~SoakPlatform();
  SoakPlatform(const SoakPlatform&) = delete;
  SoakPlatform& operator=(const SoakPlatform&) = delete;

 private:
  std::string list() const;

  const std::vector<SoakWorker>& workers_;
  const SoakDialect& dialect_;
  boost::asio::io_context context_{1};
  std::unique_ptr<http::Server> server_;
  std::thread thread_;
};

}  // namespace switchsaddle::testbed_commands
