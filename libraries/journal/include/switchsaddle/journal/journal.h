#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::journal {

/** The kind of state that an event changes. */
enum class Subject : std::uint8_t {
  Configuration,
  Workers,
  Session,
  Lease,
  AcceptorSet,
  Limits,
  Routing,
  Storage
};

/** A change of this node's view of one item of the fleet's state. */
struct Event {
  std::uint64_t sequence = 0;
  base::TimePoint at;
  Subject subject = Subject::Configuration;
  /** The item, such as "tenants/editors" or a worker's id. */
  std::string key;
  /** The new state as canonical text; empty if the item was removed. */
  std::string value;
  /** Orders the states of one key between nodes, such as a configuration version or a term; 0 if
   * there is no order. */
  std::uint64_t version = 0;
};

/**
 * The in-memory journal of a node: events are appended, and listeners apply them to views. Keeps
 * the newest events, up to its capacity, for inspection. Runs on the control strand.
 */
class Journal {
 public:
  using Listener = std::function<void(const Event&)>;

  explicit Journal(base::Dispatcher& dispatcher, std::size_t capacity = 20'000);
  /** Appends an event and calls each listener with it. */
  void append(Subject subject, std::string key, std::string value, std::uint64_t version);
  /** @param listener called for each event appended from now on. */
  void addListener(Listener listener);
  const std::deque<Event>& events() const { return events_; }

 private:
  base::Dispatcher& dispatcher_;
  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  std::deque<Event> events_;
  std::vector<Listener> listeners_;
};

/** @return the name used in logs and in GET /v1/beliefs. */
const char* subjectName(Subject subject);

}  // namespace switchsaddle::journal
