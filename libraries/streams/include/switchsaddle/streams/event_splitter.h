#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::streams {

/** One complete event of a stream that is forwarded unchanged. */
struct RawEvent {
  /** The event's bytes as received, with the empty line that ends it. */
  std::string bytes;
  /** The number of its `id` field, or std::nullopt if it has none. */
  std::optional<std::uint64_t> id;
};

/**
 * Splits a text/event-stream body into events without parsing their data. Bytes arrive in chunks of
 * any size. An event is emitted when its empty line has been received; an event that the end of the
 * body truncates is never emitted. Memory is bounded by the maximum event size. Runs on its owner's
 * strand.
 */
class EventSplitter {
 public:
  static constexpr std::size_t DefaultMaximumEventBytes = 1U << 20U;

  explicit EventSplitter(std::size_t maximum_event_bytes = DefaultMaximumEventBytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  /**
   * Appends the events completed by these bytes.
   *
   * @return false if an event exceeds the maximum size; the splitter must not be used further.
   */
  bool feed(std::string_view bytes, std::vector<RawEvent>& events);
  /** Whether bytes of an incomplete event are buffered. */
  bool midEvent() const { return !pending_.empty(); }
  /** Size of the incomplete event. */
  std::size_t pendingBytes() const { return pending_.size(); }
  /** Discards an incomplete event, for example when the stream continues from another worker. */
  void reset();

 private:
  /** Processes the complete line at the end of the buffer; an empty line ends the event. */
  void endLine(std::vector<RawEvent>& events);

  std::size_t maximum_event_bytes_;
  std::string pending_;
  /** Offset of the current line in `pending_`. */
  std::size_t line_start_ = 0;
  std::optional<std::uint64_t> id_;
};

}  // namespace switchsaddle::streams
