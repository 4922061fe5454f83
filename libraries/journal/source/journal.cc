#include "switchsaddle/journal/journal.h"

#include <utility>

namespace switchsaddle::journal {

Journal::Journal(base::Dispatcher& dispatcher, std::size_t capacity)
    : dispatcher_(dispatcher), capacity_(capacity) {}

void Journal::append(Subject subject, std::string key, std::string value, std::uint64_t version) {
  Event event;
  event.sequence = next_sequence_++;
  event.at = dispatcher_.now();
  event.subject = subject;
  event.key = std::move(key);
  event.value = std::move(value);
  event.version = version;
  events_.push_back(event);
  if (events_.size() > capacity_) {
    events_.pop_front();
  }
  for (const Listener& listener : listeners_) {
    listener(event);
  }
}

void Journal::addListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

const char* subjectName(Subject subject) {
  switch (subject) {
    case Subject::Configuration:
      return "configuration";
    case Subject::Workers:
      return "workers";
    case Subject::Session:
      return "session";
    case Subject::Lease:
      return "lease";
    case Subject::AcceptorSet:
      return "acceptor-set";
    case Subject::Limits:
      return "limits";
    case Subject::Routing:
      return "routing";
    case Subject::Storage:
      return "storage";
  }
  return "unknown";
}

}  // namespace switchsaddle::journal
