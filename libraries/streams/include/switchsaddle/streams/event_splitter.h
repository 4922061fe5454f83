#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::streams {

/** One whole event of a stream that is passed on unchanged. */
struct RawEvent {
  /** The event's bytes as they came, with the empty line that ends it. */
  std::string bytes;
  /** The number of its `id` line, where it has one. */
  std::optional<std::uint64_t> id;
};

/**
 * Cuts a text/event-stream body into whole events without reading their content. Bytes come in
 * pieces of any size; an event is handed out once its empty line has come, so that one cut off by
 * the end of the body never is. Memory is bounded by the longest event.
 */
class EventSplitter {
 public:
  static constexpr std::size_t DefaultMaximumEventBytes = 1U << 20U;

  explicit EventSplitter(std::size_t maximum_event_bytes = DefaultMaximumEventBytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  /** Appends the events completed by these bytes; false where one is longer than the bound. */
  bool feed(std::string_view bytes, std::vector<RawEvent>& events);
  /** Whether bytes of an event that has not ended are held. */
  bool midEvent() const { return !pending_.empty(); }
  /** Forgets a begun event, as when another worker goes on. */
  void reset();

 private:
  std::size_t maximum_event_bytes_;
  std::string pending_;
  /** Where the line begins that has not ended yet. */
  std::size_t line_start_ = 0;
  std::optional<std::uint64_t> id_;
};

}  // namespace switchsaddle::streams
