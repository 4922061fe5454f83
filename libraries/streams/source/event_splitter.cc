#include "switchsaddle/streams/event_splitter.h"

#include <charconv>
#include <utility>

namespace switchsaddle::streams {

namespace {

/** @return the number of an `id` field, or std::nullopt for any other line. */
std::optional<std::uint64_t> idOf(std::string_view line) {
  constexpr std::string_view Field = "id:";
  if (!line.starts_with(Field)) {
    return std::nullopt;
  }
  line.remove_prefix(Field.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  std::uint64_t id = 0;
  const auto [end, fault] = std::from_chars(line.data(), line.data() + line.size(), id);
  const bool is_number = fault == std::errc() && end == line.data() + line.size();
  return is_number ? std::optional(id) : std::nullopt;
}

}  // namespace

void EventSplitter::reset() {
  pending_ = {};
  line_start_ = 0;
  id_.reset();
}

bool EventSplitter::feed(std::string_view bytes, std::vector<RawEvent>& events) {
  while (!bytes.empty()) {
    const std::size_t newline = bytes.find('\n');
    const bool ends_line = newline != std::string_view::npos;
    const std::string_view consumed = bytes.substr(0, ends_line ? newline + 1 : bytes.size());
    bytes.remove_prefix(consumed.size());
    pending_ += consumed;
    if (pending_.size() > maximum_event_bytes_) {
      return false;
    }
    if (ends_line) {
      endLine(events);
    }
  }
  return true;
}

void EventSplitter::endLine(std::vector<RawEvent>& events) {
  std::string_view line = std::string_view(pending_).substr(line_start_);
  line.remove_suffix(1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  line_start_ = pending_.size();
  if (line.empty()) {
    events.push_back({std::move(pending_), id_});
    reset();
  } else if (const std::optional<std::uint64_t> id = idOf(line)) {
    id_ = id;
  }
}

}  // namespace switchsaddle::streams
