#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::journal {

/** What an event is about; one view folds each subject. */
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

/** Something this node came to believe. */
struct Event {
  std::uint64_t sequence = 0;
  base::TimePoint at;
  Subject subject = Subject::Configuration;
  /** The item the belief is about, such as "tenants/editors" or a worker's id. */
  std::string key;
  /** The belief, as canonical text; empty where it was given up. */
  std::string value;
  /** Orders beliefs about one key between nodes, such as a configuration version or a term. */
  std::uint64_t version = 0;
};

/**
 * The in-memory journal: events are appended, listeners fold them into views. Keeps the newest
 * `capacity` events for inspection. Runs on the control strand.
 */
class Journal {
 public:
  using Listener = std::function<void(const Event&)>;
  explicit Journal(base::Dispatcher& dispatcher, std::size_t capacity = 20'000);
  void append(Subject subject, std::string key, std::string value, std::uint64_t version);
  void addListener(Listener listener);
  const std::deque<Event>& events() const { return events_; }

 private:
  base::Dispatcher& dispatcher_;
  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  std::deque<Event> events_;
  std::vector<Listener> listeners_;
};

/** The name used in logs and in GET /v1/beliefs. */
const char* subjectName(Subject subject);

}  // namespace switchsaddle::journal
