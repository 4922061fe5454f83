#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** One worker, as read from the platform's workers file. */
struct ListedWorker {
  std::string id;
  base::NodeAddress address;
  std::string zone;
  std::vector<std::string> models;
  std::string service;
  std::string stage = "both";
  std::string weights_version = "1";
  std::uint32_t slots = 16;
};

/** Parses {"workers": [{...}]}. Throws base::Error. */
std::vector<ListedWorker> parseWorkersFile(const std::string& text);
/** The text that parseWorkersFile() reads. */
std::string formatWorkersFile(const std::vector<ListedWorker>& workers);

/** Faults that the fake platform injects on request. */
enum class PlatformFault : std::uint8_t { None, Empty, Malformed, Flap, Stale };

/** Parses {"mode": "empty"}. Throws base::Error. */
PlatformFault parsePlatformFault(const std::string& body);

/**
 * The fake platform's list of workers. A state that polling found is listed `lag` later; a worker
 * that no longer answers stays listed for another `crashed_listed`. Has no clock: times are passed
 * in.
 */
class PlatformList {
 public:
  PlatformList(std::vector<ListedWorker> workers, base::Duration lag,
               base::Duration crashed_listed);
  const std::vector<ListedWorker>& workers() const { return workers_; }
  /** Reports the state that a poll of workers()[index] found. */
  void reportState(std::size_t index, const std::string& state, base::TimePoint now);
  /** Reports that a poll of workers()[index] got no answer. */
  void reportNoAnswer(std::size_t index, base::TimePoint now);
  void setFault(PlatformFault fault);
  /** The body of GET /v1/workers. */
  std::string answer(base::TimePoint now);

 private:
  struct Observation {
    base::TimePoint visible_from;
    /** Empty if the worker is not listed. */
    std::string state;
  };
  struct Listing {
    std::deque<Observation> pending;
    std::string state;
    /** The state of the last observation, which may not be listed yet. */
    std::string last_observed;
  };
  void observe(std::size_t index, const std::string& state, base::TimePoint visible_from);
  void advance(base::TimePoint now);
  std::string listJson(bool empty) const;

  std::vector<ListedWorker> workers_;
  std::vector<Listing> listings_;
  base::Duration lag_;
  base::Duration crashed_listed_;
  std::uint64_t generation_ = 1;
  std::uint64_t answers_ = 0;
  PlatformFault fault_ = PlatformFault::None;
};

}  // namespace switchsaddle::testbed
